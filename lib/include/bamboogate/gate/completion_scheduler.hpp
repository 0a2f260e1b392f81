#ifndef BAMBOOGATE_GATE_COMPLETION_SCHEDULER_HPP
#define BAMBOOGATE_GATE_COMPLETION_SCHEDULER_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace bamboogate::gate {

/// What the scheduler knows of a completion before it starts.
struct completion_work
{
    client_account_id account;
    std::string service_class;
    std::string rank;
    model_id model;
    std::size_t prompt_bytes = 0;
    std::uint32_t max_tokens = 0;
};

/// The right to start one completion now.
struct completion_grant
{
    std::uint64_t ticket = 0;
    unsigned priority = 0; ///< for the engine; 0 is the most urgent
};

/// Why a completion was not taken; it was certainly not run.
struct completion_refusal
{
    error reason;
    duration retry_after = std::chrono::seconds(1);
};

/// Decides when each completion of this gate starts. Not thread safe.
class completion_scheduler
{
public:
    using granted = std::function<void(result<completion_grant>)>;
    using admitted = outcome::basic_result<void, completion_refusal,
                                           outcome::policy::terminate>;

    explicit completion_scheduler(net::event_loop& loop) : loop_(loop) {}

    /// @brief Queues a completion.
    /// @param callback called once, later, unless this returns a refusal
    admitted submit(completion_work work, granted callback);

private:
    net::event_loop& loop_;
    std::uint64_t next_ticket_ = 1;
};

} // namespace bamboogate::gate

#endif
