#include <bamboogate/observability/burn_report.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace bamboogate;
using namespace bamboogate::observability;
using namespace std::chrono_literals;

namespace {

const burn_time now{std::chrono::sys_days(std::chrono::year(2026) / 3 / 14) +
                    10h + 30min};

void record(burn_tracker& tracker, std::string_view account, unsigned good,
            unsigned bad, burn_time when)
{
    const client_account_id id{std::string(account)};
    for (unsigned at = 0; at < good + bad; ++at) {
        tracker.record("urgent", id, at < good, when);
    }
}

burn_row row_of(const burn_tracker& tracker, std::string_view account,
                burn_time when = now)
{
    for (const auto& row : burn_rows(tracker, when)) {
        if (row.account == account) {
            return row;
        }
    }
    FAIL("no row");
    return {};
}

} // namespace

// Guards against wrong burn rates, on which alerts depend.
TEST_CASE("burn_rate_follows_objective")
{
    struct rate_case
    {
        std::uint64_t good;
        std::uint64_t bad;
        double objective;
        double burn;
        double left;
    };
    constexpr rate_case cases[] = {
        {0, 0, 0.99, 0.0, 1.0},      {100, 0, 0.99, 0.0, 1.0},
        {99, 1, 0.99, 1.0, 0.0},     {995, 5, 0.99, 0.5, 0.5},
        {0, 1, 0.99, 100.0, -99.0},  {856, 144, 0.99, 14.4, -13.4},
        {999, 1, 0.999, 1.0, 0.0},   {90, 10, 0.9, 1.0, 0.0},
        {9999, 1, 0.99, 0.01, 0.99},
    };
    for (const auto& one : cases) {
        CAPTURE(one.good);
        CAPTURE(one.bad);
        const burn_counts counts{one.good, one.bad};
        CHECK(burn_rate(counts, one.objective) == doctest::Approx(one.burn));
        CHECK(budget_left(counts, one.objective) == doctest::Approx(one.left));
    }
}

// Guards against outcomes that stay in a window too long or leave it early.
TEST_CASE("burn_rows_outcome_counts_in_exactly_the_windows_that_cover_it")
{
    struct age_case
    {
        std::chrono::seconds age;
        std::array<bool, 4> counted;
    };
    constexpr age_case cases[] = {
        {0s, {true, true, true, true}},      {4min, {true, true, true, true}},
        {5min, {false, true, true, true}},   {58min, {false, true, true, true}},
        {1h, {false, false, true, true}},    {5h, {false, false, true, true}},
        {6h, {false, false, false, true}},   {71h, {false, false, false, true}},
        {73h, {false, false, false, false}},
    };
    for (const auto& one : cases) {
        CAPTURE(one.age.count());
        burn_tracker tracker;
        record(tracker, "a", 0, 1, now - one.age);
        const auto row = row_of(tracker, "a");
        for (std::size_t at = 0; at < one.counted.size(); ++at) {
            CAPTURE(at);
            CHECK((row.burn[at] > 0) == one.counted[at]);
        }
    }
}

// Guards against old outcomes that count in a newer bucket of the ring.
TEST_CASE("burn_ring_old_outcome_is_dropped_and_late_one_is_counted")
{
    burn_ring ring(burn_windows[0]);
    ring.add(now, {1, 0});
    ring.add(now - 1min, {0, 1});
    ring.add(now - 10min, {0, 7});
    CHECK(ring.sum(now) == burn_counts{1, 1});
    CHECK(ring.sum(now + 4min + 30s) == burn_counts{1, 0});
    CHECK(ring.sum(now + 10min) == burn_counts{});
    // A gap longer than the ring clears all of it.
    ring.add(now + 24h, {2, 0});
    CHECK(ring.sum(now + 24h) == burn_counts{2, 0});
}

// Guards against a rank total that omits or doubles an account.
TEST_CASE("burn_rows_rank_row_sums_its_accounts")
{
    burn_tracker tracker;
    tracker.set_objective("urgent", 0.9);
    record(tracker, "a", 90, 10, now);
    record(tracker, "b", 100, 0, now);
    tracker.record("later", client_account_id("a"), true, now);
    const auto rows = burn_rows(tracker, now);
    REQUIRE(rows.size() == 5);
    CHECK(rows[2].rank == "urgent");
    CHECK(rows[2].account == "*");
    CHECK(rows[2].counts == burn_counts{190, 10});
    CHECK(rows[2].attainment == doctest::Approx(0.95));
    CHECK(rows[2].budget_left == doctest::Approx(0.5));
    CHECK(row_of(tracker, "a").objective == doctest::Approx(0.99));
}

// Guards against alerts that fire on one window or on a single failure.
TEST_CASE("burn_rows_alert_needs_both_windows_and_enough_failures")
{
    SUBCASE("both windows fast")
    {
        burn_tracker tracker;
        record(tracker, "a", 80, 20, now);
        CHECK(row_of(tracker, "a").firing == std::array{true, true});
    }
    SUBCASE("long window only: the fault is over")
    {
        burn_tracker tracker;
        record(tracker, "a", 80, 20, now - 30min);
        record(tracker, "a", 10, 0, now);
        CHECK(row_of(tracker, "a").firing == std::array{false, true});
    }
    SUBCASE("short window only: too little to matter")
    {
        burn_tracker tracker;
        record(tracker, "a", 10000, 0, now - 30min);
        record(tracker, "a", 0, 20, now);
        CHECK(row_of(tracker, "a").firing == std::array{false, false});
    }
    SUBCASE("one failure among few outcomes")
    {
        burn_tracker tracker;
        record(tracker, "a", 1, min_bad_for_alert - 1, now);
        CHECK(row_of(tracker, "a").firing == std::array{false, false});
    }
    SUBCASE("slow burn alone")
    {
        burn_tracker tracker;
        record(tracker, "a", 970, 30, now - 2h);
        CHECK(row_of(tracker, "a").firing == std::array{false, true});
    }
}

// Guards against a log event at every report instead of at each change.
TEST_CASE("burn_alerts_update_reports_each_change_once")
{
    burn_tracker tracker;
    burn_alerts alerts;
    record(tracker, "a", 80, 20, now);
    auto changes = alerts.update(burn_rows(tracker, now));
    // The account and its rank, two pairs each.
    REQUIRE(changes.size() == 4);
    CHECK(std::all_of(changes.begin(), changes.end(),
                      [](const auto& change) { return change.firing; }));
    CHECK(alerts.update(burn_rows(tracker, now + 10s)).empty());
    changes = alerts.update(burn_rows(tracker, now + 10min));
    REQUIRE(changes.size() == 2);
    CHECK(burn_alert_pairs[changes[0].pair].name == "fast");
    CHECK_FALSE(changes[0].firing);
    CHECK(alerts.update({}).size() == 2);
}

// Guards against a merged report that differs from that of one gate with all
// the traffic.
TEST_CASE("burn_tracker_merge_equals_one_tracker_with_all_outcomes")
{
    burn_tracker first;
    burn_tracker second;
    burn_tracker combined;
    first.set_objective("urgent", 0.95);
    second.set_objective("urgent", 0.99);
    combined.set_objective("urgent", 0.99);
    for (int minute = 0; minute < 4000; minute += 7) {
        const auto when = now - std::chrono::minutes(minute);
        auto& part = minute % 2 == 0 ? first : second;
        const bool good = minute % 5 != 0;
        const client_account_id account(minute % 3 == 0 ? "a" : "b");
        part.record("urgent", account, good, when);
        combined.record("urgent", account, good, when);
    }
    REQUIRE(first.merge(second.to_document(), now));
    CHECK(burn_document(burn_rows(first, now), now) ==
          burn_document(burn_rows(combined, now), now));
    CHECK(first.to_document() == combined.to_document());
}

// Guards against a merge that applies part of an invalid document.
TEST_CASE("burn_tracker_merge_faulty_document_changes_nothing")
{
    burn_tracker good;
    record(good, "a", 1, 1, now);
    const auto valid = good.to_document();
    struct fault_case
    {
        const char* path;
        json value;
    };
    const fault_case cases[] = {
        {"/version", 2},
        {"/series", 5},
        {"/series/0/rank", 5},
        {"/series/0/windows/5m", 5},
        {"/series/0/windows/5m/0", json::array({1, 2})},
        {"/series/0/windows/5m/0", json::array({1, 2, 3, 4})},
        {"/series/0/windows/5m/0", json::array({-1, 2, 3})},
        {"/series/0/windows/5m/0", json::array({1, 2.5, 3})},
        {"/series/0/windows/5m/0/0", std::uint64_t{1} << 62u},
        {"/series/0/windows/5m/0/1", std::uint64_t{1} << 62u},
        {"/objectives", json{{"urgent", 1.0}}},
        {"/objectives", json{{"urgent", 0.0}}},
        {"/objectives", json{{"urgent", "high"}}},
    };
    for (const auto& one : cases) {
        CAPTURE(one.path);
        CAPTURE(one.value.dump());
        auto document = valid;
        document[json::json_pointer(one.path)] = one.value;
        burn_tracker tracker;
        record(tracker, "b", 1, 0, now);
        const auto before = tracker.to_document();
        const auto merged = tracker.merge(document, now);
        REQUIRE_FALSE(merged);
        CHECK(merged.error().code == errc::malformed_input);
        CHECK(tracker.to_document() == before);
    }
    burn_tracker tracker;
    CHECK_FALSE(tracker.merge(json::array(), now));
    CHECK_FALSE(tracker.merge(json::object(), now));
}

// Guards against unbounded memory through names chosen by callers.
TEST_CASE("burn_tracker_too_many_accounts_share_one_series")
{
    burn_tracker tracker;
    for (std::size_t at = 0; at < burn_tracker::max_series + 20; ++at) {
        tracker.record("urgent", client_account_id(std::to_string(at)), true,
                       now);
    }
    CHECK(tracker.series().size() == burn_tracker::max_series + 1);
    CHECK(row_of(tracker, "other").counts.good == 20);
}

// Guards against HTML injection by account names and against a page that loads
// external resources.
TEST_CASE("burn_page_is_self_contained_and_escapes_names")
{
    burn_tracker tracker;
    record(tracker, "<script>alert(1)</script>", 90, 10, now);
    const auto page = burn_page(tracker, now);
    CHECK(page.find("<script") == std::string::npos);
    CHECK(page.find("&lt;script&gt;") != std::string::npos);
    CHECK(page.find("<svg") != std::string::npos);
    CHECK(page.find("http") == std::string::npos);
    CHECK(page.find("src=") == std::string::npos);
    CHECK(page.find("nan") == std::string::npos);
    CHECK(burn_page(burn_tracker(), now).find("No outcome") !=
          std::string::npos);
}

// Guards against terminal control sequences in account names.
TEST_CASE("burn_table_has_one_line_per_row_and_no_control_characters")
{
    burn_tracker tracker;
    record(tracker, "a\x1b[31m", 99, 1, now);
    const auto text = burn_table(burn_rows(tracker, now));
    CHECK(std::count(text.begin(), text.end(), '\n') == 3);
    CHECK(text.find('\x1b') == std::string::npos);
    CHECK(text.find("99.00%") != std::string::npos);
}
