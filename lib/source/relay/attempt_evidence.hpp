#ifndef BAMBOOGATE_RELAY_ATTEMPT_EVIDENCE_HPP
#define BAMBOOGATE_RELAY_ATTEMPT_EVIDENCE_HPP

#include <bamboogate/relay/gate_rollouts.hpp>
#include <bamboogate/relay/instance_registry.hpp>

#include <string_view>

namespace bamboogate::relay {

/// What the attempts of one request show of their upstreams' versions. A
/// request is counted when its outcome is known. Not thread safe.
class attempt_evidence
{
public:
    /// @param rollouts, route must outlive this
    attempt_evidence(gate_rollouts& rollouts, service_id service,
                     std::string_view route)
        : rollouts_(rollouts), service_(std::move(service)), route_(route)
    {}

    /// @brief An attempt is about to be sent.
    /// @param complete false if the upstream has less to do than for other
    ///     attempts, so that its latency is not comparable
    void begin(const instance& upstream, bool complete, time_point now)
    {
        version_ = upstream.announced.version;
        timed_ =
            complete && upstream.announced.warm_up_left <= duration::zero();
        started_ = now;
        state_ = state::open;
    }

    /// @brief The attempt was answered, or its first event arrived; only the
    ///     first call for an attempt has an effect.
    void note_answer(time_point now)
    {
        if (state_ != state::open) {
            return;
        }
        state_ = state::answered;
        rollouts_.note_answer(service_, route_, version_,
                              timed_ ? std::optional(now - started_)
                                     : std::nullopt);
    }

    /// @brief The attempt failed after it was sent. A stream that is lost after
    ///     its first event counts as one more request that failed.
    void note_failure()
    {
        if (std::exchange(state_, state::closed) != state::closed) {
            rollouts_.note_failure(service_, route_, version_);
        }
    }

    /// @brief The outcome of the attempt says nothing of the version.
    void discard() { state_ = state::closed; }

    /// @brief Version of the attempt's upstream.
    [[nodiscard]] const software_version& version() const { return version_; }

private:
    enum class state
    {
        closed,
        open,
        answered,
    };

    gate_rollouts& rollouts_;
    service_id service_;
    std::string_view route_;
    software_version version_;
    time_point started_{};
    bool timed_ = false;
    state state_ = state::closed;
};

} // namespace bamboogate::relay

#endif
