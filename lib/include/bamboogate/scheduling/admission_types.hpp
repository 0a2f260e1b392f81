#ifndef BAMBOOGATE_SCHEDULING_ADMISSION_TYPES_HPP
#define BAMBOOGATE_SCHEDULING_ADMISSION_TYPES_HPP

#include <bamboogate/core/error.hpp>
#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboogate::scheduling {

/// A generation that asks for a slot.
struct admission_request
{
    request_id id;
    std::string rank; ///< name of a rank of the preset in force
    std::string service_class;
    client_account_id account;
    std::uint64_t estimated_tokens = 0; ///< of the answer
    std::uint64_t prompt_tokens = 0;    ///< prefilled again after a preemption
    /// Latest useful start. A request that has not started by then is refused.
    std::optional<time_point> deadline;
};

/// Why a request was not admitted, or was dropped from the queue. In each case
/// it was certainly not run.
struct refusal
{
    /// `overloaded`: a queue is full. `not_run`: it cannot start in time.
    /// `invalid_argument`: unknown rank, or an id that is in use.
    errc code = errc::not_run;
    duration retry_after{0};
    std::string detail;
};

/// Answer to `admission::submit`.
struct admission_decision
{
    std::optional<refusal> refused; ///< empty when the request was admitted
    duration expected_wait{0};

    [[nodiscard]] bool admitted() const noexcept { return !refused; }
};

/// A request that was dropped from the queue.
struct dropped_request
{
    request_id id;
    refusal cause;
};

/// What the gate has to do now.
struct dispatch_decision
{
    std::vector<request_id> start;
    /// Cancel these generations, then call `admission::preempted`.
    std::vector<request_id> preempt;
    std::vector<dropped_request> dropped;
};

/// Tokens of an account in a service class.
struct usage_item
{
    std::string service_class;
    client_account_id account;
    std::uint64_t tokens = 0;
};

} // namespace bamboogate::scheduling

#endif
