#include <bamboogate/scheduling/log_events.hpp>
#include <bamboogate/scheduling/usage_exchange.hpp>

#include <algorithm>

namespace bamboogate::scheduling {

namespace {

constexpr std::size_t max_items_per_report = 16384;

} // namespace

void to_json(json& document, const usage_report& message)
{
    json totals = json::array();
    for (const usage_item& item : message.totals) {
        totals.push_back(
            json::array({item.service_class, item.account, item.tokens}));
    }
    document = {{"pool", message.pool},
                {"incarnation", message.incarnation},
                {"sequence", message.sequence},
                {"demand", message.demand},
                {"urgent_demand", message.urgent_demand},
                {"totals", std::move(totals)}};
}

void from_json(const json& document, usage_report& message)
{
    document.at("pool").get_to(message.pool);
    document.at("incarnation").get_to(message.incarnation);
    document.at("sequence").get_to(message.sequence);
    document.at("demand").get_to(message.demand);
    document.at("urgent_demand").get_to(message.urgent_demand);
    const json& totals = document.at("totals");
    if (totals.size() > max_items_per_report) {
        throw json::other_error::create(501, "too many items", &document);
    }
    for (const json& item : totals) {
        message.totals.push_back({item.at(0).get<std::string>(),
                                  item.at(1).get<client_account_id>(),
                                  item.at(2).get<std::uint64_t>()});
    }
}

void usage_ledger::add(const std::vector<usage_item>& served)
{
    for (const usage_item& item : served) {
        const key who{item.service_class, item.account};
        if (own_.size() >= settings_.max_items && !own_.contains(who)) {
            continue;
        }
        const std::uint64_t total = own_[who] += item.tokens;
        changed_[who] = total;
    }
}

usage_report usage_ledger::make_report(double demand, double urgent_demand)
{
    usage_report report{.pool = settings_.pool,
                        .incarnation = settings_.incarnation,
                        .sequence = ++sequence_,
                        .demand = demand,
                        .urgent_demand = urgent_demand};
    const bool full = settings_.full_report_every > 0 &&
                      sequence_ % settings_.full_report_every == 1;
    for (const auto& [who, total] : full ? own_ : changed_) {
        report.totals.push_back({who.first, who.second, total});
    }
    changed_.clear();
    return report;
}

std::vector<usage_item> usage_ledger::receive(const node_id& gate,
                                              const usage_report& report)
{
    std::vector<usage_item> charges;
    peer& known = peers_[gate];
    if (report.incarnation < known.incarnation ||
        (report.incarnation == known.incarnation &&
         report.sequence <= known.sequence)) {
        return charges;
    }
    if (report.incarnation > known.incarnation) {
        known = {.incarnation = report.incarnation};
        // The first report of a process that just started counts from zero.
        known.complete = report.sequence == 1;
    }
    const bool full = settings_.full_report_every > 0 &&
                      report.sequence % settings_.full_report_every == 1;
    known.sequence = report.sequence;
    for (const usage_item& item : report.totals) {
        const key who{item.service_class, item.account};
        const auto found = known.totals.find(who);
        if (found == known.totals.end()) {
            if (known.totals.size() >= settings_.max_items) {
                continue;
            }
            known.totals.emplace(who, item.tokens);
            // A total seen first has no age unless all others are known.
            if (known.complete) {
                charges.push_back(item);
            }
            continue;
        }
        if (item.tokens > found->second) {
            charges.push_back({item.service_class, item.account,
                               item.tokens - found->second});
            found->second = item.tokens;
        }
    }
    known.complete = known.complete || full;
    return charges;
}

std::uint64_t usage_ledger::class_tokens(std::string_view name) const
{
    std::uint64_t sum = 0;
    for (const auto& [who, tokens] : own_) {
        sum += who.first == name ? tokens : 0;
    }
    for (const auto& [gate, known] : peers_) {
        for (const auto& [who, tokens] : known.totals) {
            sum += who.first == name ? tokens : 0;
        }
    }
    return sum;
}

usage_exchange::usage_exchange(net::event_loop& loop, net::link_hub& hub,
                               options settings, callbacks functions)
    : loop_(loop), hub_(hub), settings_(std::move(settings)),
      functions_(std::move(functions)), ledger_(settings_.ledger),
      timer_(loop, [this] { report(); })
{
    timer_.start_periodic(settings_.interval);
}

void usage_exchange::receive(const node_id& gate, const usage_report& report)
{
    if (report.pool != settings_.ledger.pool) {
        return;
    }
    heard_[gate] = loop_.now();
    if (lost_[gate]) {
        lost_[gate] = false;
        observability::log(log_events::usage_news_back,
                           {{"gate", gate.value()}, {"pool", report.pool}});
    }
    for (const usage_item& item : ledger_.receive(gate, report)) {
        functions_.charge(item);
    }
    functions_.on_demand_report(gate, report.demand, report.urgent_demand);
}

bool usage_exchange::has_recent_report(const node_id& gate) const
{
    const auto found = heard_.find(gate);
    return found != heard_.end() &&
           loop_.now() - found->second < settings_.report_ttl;
}

void usage_exchange::report()
{
    ledger_.add(functions_.take_usage());
    const double demand = functions_.demand();
    const double urgent = functions_.urgent_demand();
    functions_.on_demand_report(hub_.self().node, demand, urgent);
    const usage_report message = ledger_.make_report(demand, urgent);
    for (const net::peer_info& peer : hub_.peers_up()) {
        hub_.send(peer.node, message);
    }
    for (const auto& [gate, when] : heard_) {
        if (!lost_[gate] && !has_recent_report(gate)) {
            lost_[gate] = true;
            observability::log(
                log_events::usage_news_lost,
                {{"gate", gate.value()}, {"pool", settings_.ledger.pool}});
        }
    }
}

} // namespace bamboogate::scheduling
