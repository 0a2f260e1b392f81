#include <bamboogate/relay/upstream_prober.hpp>

namespace bamboogate::relay {

std::string_view name_of(probe_result result)
{
    switch (result) {
    case probe_result::accepted:
        return "accepted";
    case probe_result::refused:
        return "refused";
    case probe_result::silent:
        return "silent";
    }
    return "unknown";
}

upstream_prober::upstream_prober(net::event_loop& loop, options settings,
                                 finished_callback on_finished)
    : loop_(loop), settings_(settings), on_finished_(std::move(on_finished))
{}

void upstream_prober::probe(const upstream_id& id, const net::address& address)
{
    if (checks_.contains(id)) {
        return;
    }
    const auto descriptor = net::start_connect(address);
    if (!descriptor) {
        report(id, probe_result::refused);
        return;
    }
    check& added = checks_[id];
    added.stream = std::make_unique<net::tcp_stream>(
        loop_, descriptor.value(), true,
        net::tcp_stream::callbacks{
            .on_connected = [this, id] { finish(id, probe_result::accepted); },
            .on_data = [](std::string_view) {},
            .on_end =
                [this, id](net::stream_end) {
                    finish(id, probe_result::refused);
                },
            .on_drained = nullptr});
    added.deadline = std::make_unique<net::timer>(
        loop_, [this, id] { finish(id, probe_result::silent); });
    added.deadline->start_once(settings_.deadline);
}

void upstream_prober::finish(const upstream_id& upstream, probe_result outcome)
{
    const upstream_id id = upstream;
    const auto found = checks_.find(id);
    if (found == checks_.end()) {
        return;
    }
    // Destroyed later, because the stream or the timer is on the call stack.
    auto ended = std::make_shared<check>(std::move(found->second));
    checks_.erase(found);
    ended->deadline->stop();
    loop_.post([ended] {});
    report(id, outcome);
}

void upstream_prober::report(const upstream_id& upstream, probe_result outcome)
{
    loop_.post([weak = std::weak_ptr(self_), id = upstream, outcome] {
        if (const auto self = weak.lock()) {
            (*self)->on_finished_(id, outcome);
        }
    });
}

} // namespace bamboogate::relay
