#include <bamboogate/relay/stream_placer.hpp>

#include <algorithm>

namespace bamboogate::relay {

stream_placer::stream_placer(net::link_hub& hub, options settings,
                             std::function<node_id()> leader)
    : hub_(hub), settings_(settings), leader_(std::move(leader))
{}

void stream_placer::request_placement(
    const place_request& request,
    std::function<void(result<place_reply>)> callback)
{
    const duration limit =
        std::max<duration>(std::chrono::milliseconds(request.start_within_ms),
                           duration::zero()) +
        settings_.reply_margin;
    hub_.call<place_request, place_reply>(leader_(), request, limit,
                                          std::move(callback));
}

void stream_placer::request_copy_holder(
    const copy_request& request, duration limit,
    std::function<void(result<copy_reply>)> callback)
{
    hub_.call<copy_request, copy_reply>(leader_(), request, limit,
                                        std::move(callback));
}

void stream_placer::find_origin(
    const node_id& replica, const relay::find_origin& request, duration limit,
    std::function<void(result<origin_reply>)> callback)
{
    hub_.call<relay::find_origin, origin_reply>(replica, request, limit,
                                                std::move(callback));
}

void stream_placer::request_retry(
    const retry_request& request, duration limit,
    std::function<void(result<retry_reply>)> callback)
{
    hub_.call<retry_request, retry_reply>(leader_(), request, limit,
                                          std::move(callback));
}

void stream_placer::send_update(const run_update& update)
{
    hub_.send(leader_(), update);
}

bool stream_placer::report_crash(const crash_report& report)
{
    return hub_.send(leader_(), report);
}

} // namespace bamboogate::relay
