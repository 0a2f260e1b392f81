#include <bamboogate/relay/upstream_prober.hpp>

namespace bamboogate::relay {

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
        on_finished_(id, false);
        return;
    }
    check& added = checks_[id];
    added.stream = std::make_unique<net::tcp_stream>(
        loop_, descriptor.value(), true,
        net::tcp_stream::callbacks{
            .on_connected = [this, id] { finish(id, true); },
            .on_data = [](std::string_view) {},
            .on_end = [this, id](net::stream_end) { finish(id, false); },
            .on_drained = nullptr});
    added.deadline =
        std::make_unique<net::timer>(loop_, [this, id] { finish(id, false); });
    added.deadline->start_once(settings_.deadline);
}

void upstream_prober::finish(const upstream_id& upstream, bool alive)
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
    on_finished_(id, alive);
}

} // namespace bamboogate::relay
