#include <bamboogate/relay/upstream_prober.hpp>

#include <unistd.h>

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

upstream_prober::upstream_prober(net::event_loop& loop,
                                 net::path_dialer& dialer,
                                 finished_callback on_finished)
    : loop_(loop), dialer_(dialer), on_finished_(std::move(on_finished))
{}

void upstream_prober::probe(const upstream_id& id, const net::address& address)
{
    if (checks_.contains(id)) {
        return;
    }
    checks_[id] = dialer_.start(
        address, [this, id](const net::path_dialer::connection& dialled) {
            finish(id, dialled);
        });
}

void upstream_prober::finish(const upstream_id& upstream,
                             const net::path_dialer::connection& dialled)
{
    const upstream_id id = upstream;
    if (dialled.descriptor >= 0) {
        ::close(dialled.descriptor);
    }
    checks_.erase(id);
    switch (dialled.outcome) {
    case net::dial_result::connected:
        report(id, probe_result::accepted);
        return;
    case net::dial_result::refused:
        report(id, probe_result::refused);
        return;
    case net::dial_result::silent:
    case net::dial_result::unavailable:
        break;
    }
    report(id, probe_result::silent);
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
