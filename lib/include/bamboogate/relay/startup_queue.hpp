#ifndef BAMBOOGATE_RELAY_STARTUP_QUEUE_HPP
#define BAMBOOGATE_RELAY_STARTUP_QUEUE_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1_server.hpp>
#include <bamboogate/relay/protocol.hpp>

#include <functional>
#include <list>
#include <memory>

namespace bamboogate::relay {

/// A received request that is not dispatched yet.
struct pending_request
{
    net::http1_request request;
    net::http1_responder_ptr responder;
    request_description description;
    time_point arrived;
};

/// Queues requests that reach a gate before its first configuration. When all
/// processes restart at once, gates are up before the replicas have elected a
/// leader. Disconnected callers often have a single retry left, so a refusal at
/// that time would fail their requests. Each request waits for a limited time
/// and is then refused. Not thread safe.
class startup_queue
{
public:
    struct options
    {
        /// Bounds memory use: requests beyond this number are refused at once.
        std::size_t max_requests = 256;
        /// An election after a restart takes 0.6 s to 1 s.
        duration max_wait = std::chrono::milliseconds(1200);
        /// A request waits for at most 1 / this of its remaining time, so that
        /// the rest suffices to serve or to retry it.
        int time_divisor = 3;
    };
    using handler = std::function<void(pending_request)>;

    /// @param on_expired called with each request whose wait has expired
    startup_queue(net::event_loop& loop, options settings, handler on_expired);

    /// @brief Queues a request. It is dropped if its caller disconnects.
    /// @return false if the queue is full; the request is left untouched
    [[nodiscard]] bool push(pending_request& request);

    /// @brief Removes all requests and passes them to `function` in order of
    ///     arrival.
    void drain(const handler& function);

    /// @brief Expires all requests now.
    void expire_all();

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        pending_request request;
        time_point expires_at;
    };

    [[nodiscard]] duration max_wait_of(const pending_request& request) const;
    void expire();
    void arm_timer();

    net::event_loop& loop_;
    options settings_;
    handler on_expired_;
    std::list<std::shared_ptr<entry>> entries_;
    net::timer timer_;
};

} // namespace bamboogate::relay

#endif
