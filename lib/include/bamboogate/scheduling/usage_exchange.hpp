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

/// Tokens that one gate served, as totals since its start, so that reports may
/// be lost or repeated.
struct usage_report
{
    static constexpr std::string_view type = "usage_report";
    std::string pool; ///< the engine pool that the report is about
    bamboogate::incarnation incarnation;
    std::uint64_t sequence = 0;
    double demand = 0.0;            ///< `admission::demand`
    double urgent_demand = 0.0;     ///< `admission::urgent_demand`
    std::vector<usage_item> totals; ///< changed totals, or all totals
};
void to_json(json& document, const usage_report& message);
void from_json(const json& document, usage_report& message);

/// Maintains the totals of this gate and converts reports of other gates into
/// charges.
///
/// Bounds: while links are up, the usage of another gate that is not yet
/// charged here is at most what that gate serves in one report interval plus
/// the delay of a message (plus `full_report_every` intervals if a report was
/// lost). Without reports nothing is charged: an account then receives at most
/// its fair share once per group of connected gates. Charges after an outage
/// are bounded by `admission::options::max_remote_debt`. Pure. Not thread safe.
class usage_ledger
{
public:
    struct options
    {
        bamboogate::incarnation incarnation; ///< of this gate's process
        std::string pool;
        unsigned full_report_every = 20; ///< one in so many reports is full
        std::size_t max_items = 8192;    ///< totals kept per gate
    };

    explicit usage_ledger(options settings) : settings_(std::move(settings)) {}

    /// @brief Adds tokens that this gate served (`admission::take_usage`).
    void add(const std::vector<usage_item>& served);

    /// @brief Creates the next report; every `full_report_every`th lists all
    ///     totals.
    [[nodiscard]] usage_report make_report(double demand, double urgent_demand);

    /// @brief Applies another gate's report. Outdated reports are ignored.
    /// @return the tokens that the gate served since its last report. The first
    ///     totals received from a gate's process are charged only if they are
    ///     from its first report; later ones may cover any period.
    std::vector<usage_item> receive(const node_id& gate,
                                    const usage_report& report);

    /// @brief Tokens of a class at all gates, as reported so far.
    [[nodiscard]] std::uint64_t class_tokens(std::string_view name) const;

private:
    using key = std::pair<std::string, client_account_id>;
    struct peer
    {
        bamboogate::incarnation incarnation;
        std::uint64_t sequence = 0;
        std::map<key, std::uint64_t> totals;
        bool complete = false; ///< a full report was received
    };

    options settings_;
    std::map<key, std::uint64_t> own_;
    std::map<key, std::uint64_t> changed_;
    std::map<node_id, peer> peers_;
    std::uint64_t sequence_ = 0;
};

/// Exchanges usage reports with the other gates. Not thread safe: all calls
/// come from the loop's thread.
class usage_exchange
{
public:
    struct options
    {
        usage_ledger::options ledger;
        duration interval = std::chrono::milliseconds(250);
        /// A gate's reports count as lost this long after the last one.
        duration report_ttl = std::chrono::seconds(2);
    };
    struct callbacks
    {
        /// This gate's usage since the last call.
        std::function<std::vector<usage_item>()> take_usage;
        std::function<double()> demand;
        std::function<double()> urgent_demand;
        /// Receives usage at another gate, to be charged here.
        std::function<void(const usage_item&)> charge;
        /// Receives the demand of a gate, this one included, for
        /// `routing::capacity_share`.
        std::function<void(const node_id&, double demand, double urgent_demand)>
            on_demand_report;
    };

    /// @param loop and hub must outlive this object
    usage_exchange(net::event_loop& loop, net::link_hub& hub, options settings,
                   callbacks functions);

    /// @brief Applies a report; those of other pools are ignored. The owner of
    ///     the hub's handler dispatches reports by pool, as the hub has one
    ///     handler per message type.
    void receive(const node_id& gate, const usage_report& report);

    /// @brief Whether a report of the gate arrived within `report_ttl`.
    [[nodiscard]] bool has_recent_report(const node_id& gate) const;

private:
    void send_report();

    net::event_loop& loop_;
    net::link_hub& hub_;
    options settings_;
    callbacks functions_;
    usage_ledger ledger_;
    std::map<node_id, time_point> last_report_;
    std::map<node_id, bool> reports_lost_;
    net::timer timer_;
};

} // namespace bamboogate::scheduling

#endif
