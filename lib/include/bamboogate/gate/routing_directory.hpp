#ifndef BAMBOOGATE_GATE_ROUTING_DIRECTORY_HPP
#define BAMBOOGATE_GATE_ROUTING_DIRECTORY_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/orders/service_request.hpp>
#include <bamboogate/routing/selector.hpp>
#include <bamboogate/routing/upstream_table.hpp>
#include <bamboogate/streaming/engine_directory.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <span>
#include <unordered_map>

namespace bamboogate::gate {

/// Selects engines and plain services from the gate's upstream table and tracks
/// the estimated outstanding tokens of each engine. Not thread safe.
class routing_directory : public streaming::engine_directory
{
public:
    /// @param table and @param selector must outlive this object
    /// @param seed of the random bits that break ties between engines
    routing_directory(const routing::upstream_table& table,
                      routing::selector& selector, std::uint64_t seed);

    [[nodiscard]] std::optional<streaming::engine_choice>
    choose(const streaming::engine_query& query) override;
    void attempt_started(const streaming::engine_choice& engine,
                         const request_id& request,
                         std::uint64_t attempt) override;
    void attempt_ended(const streaming::engine_choice& engine,
                       const request_id& request, std::uint64_t attempt,
                       streaming::attempt_outcome outcome,
                       std::uint64_t tokens) override;
    [[nodiscard]] bool is_alive(const upstream_id& upstream,
                                incarnation expected) const override;

    /// @brief Records tokens that a generation's running attempt delivered.
    void tokens_received(const request_id& request, std::uint64_t count);

    /// @brief Selects an upstream of a plain service; empty when none is
    ///     available.
    [[nodiscard]] std::optional<orders::service_target>
    choose_service(const service_id& service,
                   std::span<const upstream_id> excluded);

private:
    struct outstanding_work
    {
        upstream_id engine;
        std::uint64_t attempt = 0;
        std::uint64_t tokens = 0; ///< estimated, not yet delivered
    };

    const routing::upstream_table& table_;
    routing::selector& selector_;
    std::mt19937_64 random_;
    std::unordered_map<request_id, outstanding_work> outstanding_;
    std::unordered_map<request_id, std::uint64_t> estimates_;
};

} // namespace bamboogate::gate

#endif
