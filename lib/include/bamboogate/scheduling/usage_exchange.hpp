#ifndef BAMBOOGATE_SCHEDULING_USAGE_EXCHANGE_HPP
#define BAMBOOGATE_SCHEDULING_USAGE_EXCHANGE_HPP

#include <bamboogate/core/json.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/scheduling/admission_types.hpp>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bamboogate::scheduling {

/// What one gate served, as totals since its start: a lost or repeated report
/// does no harm.
struct usage_report
{
    static constexpr std::string_view type = "usage_report";
    std::string pool; ///< the pool of engines that the numbers are about
    bamboogate::incarnation incarnation;
    std::uint64_t sequence = 0;
    double demand = 0.0;            ///< `admission::demand`
    double urgent_demand = 0.0;     ///< `admission::urgent_demand`
    std::vector<usage_item> totals; ///< only what changed, or everything
};
void to_json(json& document, const usage_report& message);
void from_json(const json& document, usage_report& message);

/// Keeps the totals of this gate and turns reports of others into charges.
///
/// Bounds: with links up, the usage of another gate that is not yet charged
/// here is at most what that gate serves in one report interval plus the
/// delay of a message (and of `full_report_every` intervals where a report was
/// lost). Without news nothing is charged: an account then gets at most its
/// fair share once per group of gates that hear each other. What is charged
/// after a silence is bounded by `admission::options::max_remote_debt`. Pure.
class usage_ledger
{
public:
    struct options
    {
        bamboogate::incarnation incarnation; ///< of this gate's process
        std::string pool;
        unsigned full_report_every =
            20; ///< each so many reports lists everything
        std::size_t max_items = 8192;
    };

    explicit usage_ledger(options settings) : settings_(std::move(settings)) {}

    /// @brief Adds what this gate served (`admission::take_usage`).
    void add(const std::vector<usage_item>& served);

    /// @brief The next report.
    [[nodiscard]] usage_report make_report(double demand, double urgent_demand);

    /// @brief Takes another gate's report.
    /// @return what that gate served since its last report; nothing for the
    ///     first report of a gate's life, as its totals tell no time
    std::vector<usage_item> receive(const node_id& gate,
                                    const usage_report& report);

    /// @brief Tokens of a class at all gates, as far as reported.
    [[nodiscard]] std::uint64_t class_tokens(std::string_view name) const;

private:
    using key = std::pair<std::string, client_account_id>;
    struct peer
    {
        bamboogate::incarnation incarnation;
        std::uint64_t sequence = 0;
        std::map<key, std::uint64_t> totals;
        bool complete = false; ///< a full report was seen
    };

    options settings_;
    std::map<key, std::uint64_t> own_;
    std::map<key, std::uint64_t> changed_;
    std::map<node_id, peer> peers_;
    std::uint64_t sequence_ = 0;
};

/// The task that sends and receives usage reports. Not thread safe.
class usage_exchange
{
public:
    struct options
    {
        usage_ledger::options ledger;
        duration interval = std::chrono::milliseconds(250);
        duration report_ttl = std::chrono::seconds(2);
    };
    struct callbacks
    {
        /// Own usage since the last call.
        std::function<std::vector<usage_item>()> take_usage;
        std::function<double()> demand;
        std::function<double()> urgent_demand;
        /// Usage at another gate, to be charged here.
        std::function<void(const usage_item&)> charge;
        /// Another gate's demand, for `routing::capacity_share`.
        std::function<void(const node_id&, double demand, double urgent_demand)>
            on_demand_report;
    };

    /// @param loop and hub must outlive this object
    usage_exchange(net::event_loop& loop, net::link_hub& hub, options settings,
                   callbacks functions);

    /// @brief Takes a report. The owner of the hub's handler passes reports on
    ///     by pool, as the hub has one handler per message type.
    void receive(const node_id& gate, const usage_report& report);

    /// @brief Whether the gate's reports arrive.
    [[nodiscard]] bool has_recent_report(const node_id& gate) const;

private:
    void report();

    net::event_loop& loop_;
    net::link_hub& hub_;
    options settings_;
    callbacks functions_;
    usage_ledger ledger_;
    std::map<node_id, time_point> heard_;
    std::map<node_id, bool> lost_;
    net::timer timer_;
};

} // namespace bamboogate::scheduling

#endif
