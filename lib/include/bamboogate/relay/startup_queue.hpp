#ifndef BAMBOOGATE_RELAY_STARTUP_QUEUE_HPP
#define BAMBOOGATE_RELAY_STARTUP_QUEUE_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1_server.hpp>
#include <bamboogate/relay/protocol.hpp>

#include <functional>
#include <list>
#include <memory>

namespace bamboogate::relay {

/// A request that has arrived and is not carried yet.
struct pending_request
{
    net::http1_request request;
    net::http1_responder_ptr responder;
    request_description description;
    time_point arrived;
};

/// Keeps requests that reach a gate before its first configuration. When all
/// processes restart at one moment, gates are back before the replicas have
/// elected a leader; callers that were cut off have often one retry left, and
/// a refusal in that time ends their requests. Each request waits for a
/// bounded time, then it is refused. Not thread safe.
class startup_queue
{
public:
    struct options
    {
        /// Bounds the memory: requests beyond this are refused at once.
        std::size_t max_requests = 256;
        /// An election after a restart takes 0.6 s to 1 s.
        duration max_wait = std::chrono::milliseconds(1200);
        /// A request waits for at most 1 / this of the time that its caller
        /// leaves, so that the rest suffices to serve it or to come back.
        int time_divisor = 3;
    };
    using handler = std::function<void(pending_request)>;

    /// @param on_expired called with each request that has waited in vain
    startup_queue(net::event_loop& loop, options settings, handler on_expired);

    /// @brief Keeps a request. One whose caller leaves is dropped.
    /// @return false when there is no room; the request is left untouched
    [[nodiscard]] bool push(pending_request& request);

    /// @brief Hands out all requests in the order of their arrival.
    void drain(const handler& function);

    /// @brief Expires all requests now.
    void expire_all();

    [[nodiscard]] std::size_t size() const { return held_.size(); }

private:
    struct entry
    {
        pending_request request;
        time_point until;
    };

    [[nodiscard]] duration wait_of(const pending_request& request) const;
    void expire();
    void arm();

    net::event_loop& loop_;
    options settings_;
    handler on_expired_;
    std::list<std::shared_ptr<entry>> held_;
    net::timer timer_;
};

} // namespace bamboogate::relay

#endif
