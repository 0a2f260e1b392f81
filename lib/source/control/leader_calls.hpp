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

/// Requests to whichever replica leads: tries the replicas in turn, follows
/// hints, and repeats a request until it is answered or its deadline passes.
/// The requests must be idempotent. Not thread safe.
class leader_calls
{
public:
    /// Above a commit with a slow disk, and short enough to leave time for
    /// another replica when one is silent.
    static constexpr duration attempt_limit = std::chrono::milliseconds(400);
    static constexpr duration retry_pause = std::chrono::milliseconds(25);

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

    /// @brief The replica to ask now.
    [[nodiscard]] std::optional<node_id> target() const
    {
        if (leader_) {
            return leader_;
        }
        if (replicas_.empty()) {
            return std::nullopt;
        }
        // A replica without a link cannot answer; skip it when another can.
        for (std::size_t i = 0; i < replicas_.size(); ++i) {
            const auto& each = replicas_[(next_ + i) % replicas_.size()];
            if (hub_.is_up(each)) {
                return each;
            }
        }
        return replicas_[next_ % replicas_.size()];
    }

    /// @brief Learns from an answer. @return true when another try may help.
    bool note_failure(const node_id& asked, const error& problem)
    {
        switch (problem.code) {
        case errc::not_leader:
            move_on(asked);
            if (is_replica(problem.detail) && problem.detail != asked.value()) {
                leader_ = node_id(problem.detail);
            }
            return true;
        case errc::connection_failed:
        case errc::connection_lost:
        case errc::deadline_exceeded:
        case errc::outcome_unknown:
        case errc::no_quorum:
            move_on(asked);
            return true;
        default:
            return false;
        }
    }

    void note_leader(const node_id& answered) { leader_ = answered; }

    /// @brief Calls until answered. @param callback called exactly once,
    ///     from the loop, unless this object is destroyed first
    template <typename Request, typename Response>
    void call(Request request, duration deadline,
              std::function<void(result<Response>)> callback)
    {
        auto state = std::make_shared<attempt<Request, Response>>(
            attempt<Request, Response>{std::move(request),
                                       loop_.now() + deadline,
                                       std::move(callback), nullptr});
        std::weak_ptr<attempt<Request, Response>> weak = state;
        state->pause = std::make_unique<net::timer>(loop_, [this, weak] {
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
    struct attempt
    {
        Request request;
        time_point end;
        std::function<void(result<Response>)> callback;
        std::unique_ptr<net::timer> pause;
    };

    template <typename Request, typename Response>
    void try_once(const std::shared_ptr<attempt<Request, Response>>& state)
    {
        const duration left = state->end - loop_.now();
        const auto asked = target();
        if (left <= duration::zero() || !asked) {
            finish(state, result<Response>(
                              fail(errc::deadline_exceeded,
                                   "no control replica answered in time")));
            return;
        }
        hub_.call<Request, Response>(
            *asked, state->request, std::min(left, attempt_limit),
            [this, state, asked = *asked,
             guard = alive_](result<Response> reply) {
                if (*guard) {
                    on_reply(state, asked, std::move(reply));
                }
            });
    }

    template <typename Request, typename Response>
    void on_reply(const std::shared_ptr<attempt<Request, Response>>& state,
                  const node_id& asked, result<Response> reply)
    {
        if (reply) {
            note_leader(asked);
            finish(state, std::move(reply));
            return;
        }
        const bool hinted = reply.error().code == errc::not_leader;
        if (!note_failure(asked, reply.error())) {
            finish(state, std::move(reply));
            return;
        }
        const bool known = hinted && leader_.has_value();
        const duration left = state->end - loop_.now();
        const duration pause =
            known ? std::chrono::milliseconds(1) : retry_pause;
        state->pause->start_once(
            std::clamp<duration>(left, std::chrono::microseconds(100), pause));
    }

    template <typename Request, typename Response>
    void finish(const std::shared_ptr<attempt<Request, Response>>& state,
                result<Response> reply)
    {
        pending_.erase(state);
        auto callback = std::move(state->callback);
        callback(std::move(reply));
    }

    void move_on(const node_id& asked)
    {
        if (leader_ == asked) {
            leader_.reset();
        }
        const auto found = std::find(replicas_.begin(), replicas_.end(), asked);
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
