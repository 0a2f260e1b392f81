#ifndef BAMBOOGATE_SOURCE_CONTROL_LEADER_CALLS_HPP
#define BAMBOOGATE_SOURCE_CONTROL_LEADER_CALLS_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/link_hub.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace bamboogate::control {

/// Sends requests to the leading replica: tries the replicas in turn, follows
/// leader hints and retries a request until it is answered or its deadline
/// passes. The requests must be idempotent. Not thread safe.
class leader_calls
{
public:
    /// Longer than a commit with a slow disk, and short enough to leave time
    /// for another replica if one does not respond.
    static constexpr duration attempt_timeout = std::chrono::milliseconds(400);
    static constexpr duration retry_delay = std::chrono::milliseconds(25);

    leader_calls(net::event_loop& loop, net::link_hub& hub,
                 std::vector<node_id> replicas)
        : loop_(loop), hub_(hub), replicas_(std::move(replicas))
    {}
    ~leader_calls() { *alive_ = false; }
    leader_calls(const leader_calls&) = delete;
    leader_calls& operator=(const leader_calls&) = delete;

    [[nodiscard]] const std::optional<node_id>& leader() const noexcept
    {
        return leader_;
    }

    /// @brief The replica to send the next request to.
    [[nodiscard]] std::optional<node_id> target() const
    {
        if (leader_) {
            return leader_;
        }
        if (replicas_.empty()) {
            return std::nullopt;
        }
        // A replica without a link cannot answer, so it is chosen only if no
        // link is up.
        for (std::size_t i = 0; i < replicas_.size(); ++i) {
            const auto& each = replicas_[(next_ + i) % replicas_.size()];
            if (hub_.is_up(each)) {
                return each;
            }
        }
        return replicas_[next_ % replicas_.size()];
    }

    /// @brief Updates the leader hint after a failed request.
    /// @return true if a retry may succeed
    bool handle_failure(const node_id& replica, const error& problem)
    {
        switch (problem.code) {
        case errc::not_leader:
            skip_replica(replica);
            if (is_replica(problem.detail) &&
                problem.detail != replica.value()) {
                leader_ = node_id(problem.detail);
            }
            return true;
        case errc::connection_failed:
        case errc::connection_lost:
        case errc::deadline_exceeded:
        case errc::outcome_unknown:
        case errc::no_quorum:
            skip_replica(replica);
            return true;
        default:
            return false;
        }
    }

    void set_leader(const node_id& replica) { leader_ = replica; }

    /// @brief Sends a request and retries it until it is answered.
    /// @param callback called exactly once, from the loop, unless this object
    ///     is destroyed first
    template <typename Request, typename Response>
    void call(Request request, duration deadline,
              std::function<void(result<Response>)> callback)
    {
        auto state = std::make_shared<pending_call<Request, Response>>(
            pending_call<Request, Response>{std::move(request),
                                            loop_.now() + deadline,
                                            std::move(callback), nullptr});
        std::weak_ptr<pending_call<Request, Response>> weak = state;
        state->retry_timer = std::make_unique<net::timer>(loop_, [this, weak] {
            if (auto locked = weak.lock()) {
                try_once(locked);
            }
        });
        pending_.insert(state);
        loop_.post([this, state, guard = alive_] {
            if (*guard) {
                try_once(state);
            }
        });
    }

private:
    template <typename Request, typename Response>
    struct pending_call
    {
        Request request;
        time_point deadline;
        std::function<void(result<Response>)> callback;
        std::unique_ptr<net::timer> retry_timer;
    };

    template <typename Request, typename Response>
    void try_once(const std::shared_ptr<pending_call<Request, Response>>& state)
    {
        const duration left = state->deadline - loop_.now();
        const auto replica = target();
        if (left <= duration::zero() || !replica) {
            finish(state, result<Response>(
                              fail(errc::deadline_exceeded,
                                   "no control replica answered in time")));
            return;
        }
        hub_.call<Request, Response>(
            *replica, state->request, std::min(left, attempt_timeout),
            [this, state, replica = *replica,
             guard = alive_](result<Response> reply) {
                if (*guard) {
                    on_reply(state, replica, std::move(reply));
                }
            });
    }

    template <typename Request, typename Response>
    void on_reply(const std::shared_ptr<pending_call<Request, Response>>& state,
                  const node_id& replica, result<Response> reply)
    {
        if (reply) {
            set_leader(replica);
            finish(state, std::move(reply));
            return;
        }
        const bool hinted = reply.error().code == errc::not_leader;
        if (!handle_failure(replica, reply.error())) {
            finish(state, std::move(reply));
            return;
        }
        const bool known = hinted && leader_.has_value();
        const duration left = state->deadline - loop_.now();
        const duration pause =
            known ? std::chrono::milliseconds(1) : retry_delay;
        state->retry_timer->start_once(
            std::clamp<duration>(left, std::chrono::microseconds(100), pause));
    }

    template <typename Request, typename Response>
    void finish(const std::shared_ptr<pending_call<Request, Response>>& state,
                result<Response> reply)
    {
        pending_.erase(state);
        auto callback = std::move(state->callback);
        callback(std::move(reply));
    }

    void skip_replica(const node_id& replica)
    {
        if (leader_ == replica) {
            leader_.reset();
        }
        const auto found =
            std::find(replicas_.begin(), replicas_.end(), replica);
        if (found != replicas_.end()) {
            next_ = static_cast<std::size_t>(found - replicas_.begin()) + 1;
        }
    }

    [[nodiscard]] bool is_replica(const std::string& name) const
    {
        return std::find(replicas_.begin(), replicas_.end(), node_id(name)) !=
               replicas_.end();
    }

    net::event_loop& loop_;
    net::link_hub& hub_;
    std::vector<node_id> replicas_;
    std::size_t next_ = 0;
    std::optional<node_id> leader_;
    std::set<std::shared_ptr<void>> pending_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace bamboogate::control

#endif
