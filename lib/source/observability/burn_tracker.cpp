#include <bamboogate/observability/burn_tracker.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace bamboogate::observability {

namespace {

constexpr double default_objective = 0.99;

/// Largest clock difference between gates and operators that is accepted; a
/// bucket further in the future would evict valid ones from the ring.
constexpr std::chrono::hours max_clock_lead{1};

burn_tracker::rings empty_rings()
{
    return {burn_ring(burn_windows[0]), burn_ring(burn_windows[1]),
            burn_ring(burn_windows[2]), burn_ring(burn_windows[3])};
}

} // namespace

burn_ring::burn_ring(const burn_window& window)
    : window_(window), buckets_(window.buckets())
{}

std::int64_t burn_ring::index_of(burn_time when) const
{
    return when.time_since_epoch() / window_.bucket;
}

void burn_ring::add(burn_time when, const burn_counts& counts)
{
    add_at(index_of(when), counts);
}

void burn_ring::add_at(std::int64_t index, const burn_counts& counts)
{
    const auto size = static_cast<std::int64_t>(buckets_.size());
    if (index <= newest_ - size || index < 0) {
        return;
    }
    if (index > newest_) {
        const auto first = std::max(newest_ + 1, index - size + 1);
        for (auto cleared = first; cleared <= index; ++cleared) {
            buckets_[static_cast<std::size_t>(cleared % size)] = {};
        }
        newest_ = index;
    }
    buckets_[static_cast<std::size_t>(index % size)] += counts;
}

std::vector<burn_counts> burn_ring::history(burn_time now) const
{
    const auto size = static_cast<std::int64_t>(buckets_.size());
    const auto last = index_of(now);
    std::vector<burn_counts> window;
    window.reserve(buckets_.size());
    for (auto index = last - size + 1; index <= last; ++index) {
        const bool stored =
            index >= 0 && index <= newest_ && index > newest_ - size;
        window.push_back(stored
                             ? buckets_[static_cast<std::size_t>(index % size)]
                             : burn_counts{});
    }
    // Outcomes with a time stamp in the future count for the newest bucket.
    for (auto index = std::max(last + 1, newest_ - size + 1); index <= newest_;
         ++index) {
        window.back() += buckets_[static_cast<std::size_t>(index % size)];
    }
    return window;
}

burn_counts burn_ring::sum(burn_time now) const
{
    burn_counts total;
    for (const auto& counts : history(now)) {
        total += counts;
    }
    return total;
}

json burn_ring::to_document() const
{
    json document = json::array();
    const auto size = static_cast<std::int64_t>(buckets_.size());
    for (auto index = std::max<std::int64_t>(0, newest_ - size + 1);
         index <= newest_; ++index) {
        const auto& counts = buckets_[static_cast<std::size_t>(index % size)];
        if (counts.total() > 0) {
            document.push_back(
                {static_cast<std::uint64_t>(index), counts.good, counts.bad});
        }
    }
    return document;
}

result<void> burn_ring::merge(const json& document, burn_time now)
{
    if (!document.is_array()) {
        return fail(errc::malformed_input, "burn buckets: not a list");
    }
    const auto latest = index_of(now + max_clock_lead);
    // With larger counts, the sum over many buckets could overflow.
    constexpr std::uint64_t max_count =
        std::numeric_limits<std::uint32_t>::max();
    for (const auto& entry : document) {
        BOOST_OUTCOME_TRY(numbers,
                          from_document<std::array<std::uint64_t, 3>>(entry));
        const auto [index, good, bad] = numbers;
        if (entry.size() != 3 || index > static_cast<std::uint64_t>(latest) ||
            good > max_count || bad > max_count ||
            std::any_of(entry.begin(), entry.end(), [](const json& number) {
                return !number.is_number_unsigned();
            })) {
            return fail(errc::malformed_input, "burn bucket out of range");
        }
        add_at(static_cast<std::int64_t>(index), {good, bad});
    }
    return outcome::success();
}

void burn_tracker::set_objective(std::string_view rank, double objective)
{
    objectives_.insert_or_assign(std::string(rank), objective);
}

double burn_tracker::objective(std::string_view rank) const
{
    const auto found = objectives_.find(rank);
    return found == objectives_.end() ? default_objective : found->second;
}

burn_tracker::rings& burn_tracker::find_or_add(burn_key key)
{
    auto found = series_.find(key);
    if (found == series_.end() && series_.size() >= max_series) {
        key.account = client_account_id("other");
        found = series_.find(key);
    }
    if (found == series_.end()) {
        found = series_.emplace(std::move(key), empty_rings()).first;
    }
    return found->second;
}

void burn_tracker::record(std::string_view rank,
                          const client_account_id& account, bool good,
                          burn_time when)
{
    const burn_counts outcome{.good = good ? 1u : 0u, .bad = good ? 0u : 1u};
    for (auto& ring : find_or_add({std::string(rank), account})) {
        ring.add(when, outcome);
    }
}

json burn_tracker::to_document() const
{
    json list = json::array();
    for (const auto& [key, windows] : series_) {
        json entry = {{"rank", key.rank}, {"account", key.account}};
        for (std::size_t at = 0; at < burn_windows.size(); ++at) {
            entry["windows"][std::string(burn_windows[at].name)] =
                windows[at].to_document();
        }
        list.push_back(std::move(entry));
    }
    return {{"version", 1},
            {"objectives", objectives_},
            {"series", std::move(list)}};
}

result<void> burn_tracker::merge(const json& document, burn_time now)
{
    burn_tracker merged = *this;
    try {
        if (document.at("version") != 1) {
            return fail(errc::malformed_input, "unknown burn version");
        }
        for (const auto& [rank, value] : document.at("objectives").items()) {
            const auto objective = value.get<double>();
            if (!(objective > 0.0 && objective < 1.0)) {
                return fail(errc::malformed_input, "burn objective");
            }
            const auto own = merged.objectives_.find(rank);
            merged.set_objective(rank, own == merged.objectives_.end()
                                           ? objective
                                           : std::max(own->second, objective));
        }
        for (const auto& entry : document.at("series")) {
            auto& windows = merged.find_or_add(
                {entry.at("rank").get<std::string>(),
                 client_account_id(entry.at("account").get<std::string>())});
            const auto& given = entry.at("windows");
            for (std::size_t at = 0; at < burn_windows.size(); ++at) {
                BOOST_OUTCOME_TRYV(windows[at].merge(
                    given.at(std::string(burn_windows[at].name)), now));
            }
        }
    } catch (const json::exception& problem) {
        return fail(errc::malformed_input,
                    fmt::format("burn data: {}", problem.what()));
    }
    *this = std::move(merged);
    return outcome::success();
}

} // namespace bamboogate::observability
