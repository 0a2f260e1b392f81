#ifndef BAMBOOGATE_TESTS_PLATFORM_SOAK_CALLERS_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SOAK_CALLERS_HPP

#include <bamboogate/net/http1_client.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "statement_checks.hpp"
#include "take_ups.hpp"
#include "violations.hpp"

namespace bamboogate::tests {

enum class request_kind : std::uint8_t
{
    stream,
    booking, ///< not idempotent
    lookup,  ///< idempotent
};

[[nodiscard]] std::string_view name_of(request_kind kind);

/// Outcomes of all requests of one kind.
struct caller_counts
{
    unsigned started = 0;
    unsigned served = 0;
    unsigned refused = 0; ///< last response: not executed
    unsigned failed = 0;
};

/// Callers that send requests, retry after failures as the specification
/// allows, and check every response. Not thread safe.
class caller_pool
{
public:
    struct options
    {
        /// Returns the gate for a new connection, another one than `avoided`
        /// if it is not null and there is one.
        std::function<net::address(const net::address* avoided)> choose_gate;
        std::string host;
        std::vector<std::string> keys; ///< of client accounts
        std::map<request_kind, std::string> paths;
        unsigned max_events = 150; ///< of a stream
    };

    caller_pool(net::event_loop& loop, const run_ledger& ledger,
                statement_checks& statements, take_up_checks& take_ups,
                violations& problems, unsigned seed, options settings);
    ~caller_pool();
    caller_pool(const caller_pool&) = delete;
    caller_pool& operator=(const caller_pool&) = delete;

    /// @brief Starts a request of a caller.
    /// @param must_succeed a failure counts as a violated guarantee
    void start(request_kind kind, bool must_succeed);

    /// @brief Starts a plain request with a long body.
    void start_upload(request_kind kind);

    /// @brief Ends requests whose deadline has passed.
    void step();

    [[nodiscard]] std::size_t running() const { return calls_.size(); }
    [[nodiscard]] const std::map<request_kind, caller_counts>& counts() const
    {
        return counts_;
    }

    /// @brief Compares the responses to callers with what the back ends
    ///     executed.
    void check_runs() const;

private:
    class call;

    void on_ended(call& ended);

    net::event_loop& loop_;
    const run_ledger& ledger_;
    statement_checks& statements_;
    take_up_checks& take_ups_;
    violations& violations_;
    std::mt19937 random_;
    options settings_;
    net::http1_client client_;
    std::map<request_kind, caller_counts> counts_;
    std::vector<std::shared_ptr<call>> calls_;
    /// Attempts that were reported as not executed.
    std::vector<std::string> reported_not_run_;
    /// Attempts of each booking.
    std::vector<std::vector<std::string>> bookings_;
};

} // namespace bamboogate::tests

#endif
