// Replicas whose disks are full, slow or fail.
#include <consensus/support/faulty_files.hpp>
#include <consensus/support/replica_fixture.hpp>

using namespace bamboogate;
using namespace bamboogate::consensus;
using namespace std::chrono_literals;

namespace {

/// Three voters, each with a disk of its own that can be full or fail.
class disk_fixture : public replica_fixture
{
public:
    std::vector<std::shared_ptr<faulty_files>> disks;
    std::vector<int> failures;

    disk_fixture()
    {
        base.snapshot_interval_entries = 4;
        for (unsigned i = 0; i < 3; ++i) {
            create(fmt::format("n{}", i), true);
        }
        failures.resize(processes.size());
        for (std::size_t i = 0; i < processes.size(); ++i) {
            disks.push_back(std::make_shared<faulty_files>());
            base.files = disks.back();
            run(*processes[i]);
            processes[i]->core->on_failure(
                [this, i](const error&) { ++failures[i]; });
        }
    }
    void fill_disk(std::size_t index) { disks[index]->capacity = 7; }
    void free_disk(std::size_t index)
    {
        disks[index]->capacity = std::numeric_limits<std::uint64_t>::max();
    }
    bool commit_within(const std::string& command, duration limit)
    {
        const time_point end = loop.now() + limit;
        while (loop.now() < end) {
            if (commit(command)) {
                return true;
            }
        }
        return false;
    }
};

} // namespace

// Guards against a replica that stays out of the group after its disk was full
// for a while: after three such replicas there was no majority for good.
TEST_CASE_FIXTURE(disk_fixture, "replica_disks_full_in_turn_keep_their_votes")
{
    REQUIRE(commit_within("before", 3s));
    for (std::size_t i = 0; i < processes.size(); ++i) {
        CAPTURE(i);
        fill_disk(i);
        REQUIRE(run_until([&] {
            return commit_within(fmt::format("full{}", i), 3s) &&
                   failures[i] != 0;
        }));
        free_disk(i);
        REQUIRE(commit_within(fmt::format("free{}", i), 3s));
        // 4 s is the time in which a machine has to catch up.
        CHECK(run_until([this] { return converged(); }, 4s));
    }
}

// Guards against a group that does not return after all disks were full at
// once for longer than the first attempts to open them again.
TEST_CASE_FIXTURE(disk_fixture, "replica_disks_all_full_at_once_return")
{
    REQUIRE(commit_within("before", 3s));
    REQUIRE(run_until([this] { return converged(); }));
    for (std::size_t i = 0; i < processes.size(); ++i) {
        fill_disk(i);
    }
    CHECK_FALSE(commit_within("refused", 2s));
    for (std::size_t i = 0; i < processes.size(); ++i) {
        free_disk(i);
    }
    CHECK(commit_within("after", 4s));
    CHECK(run_until([this] { return converged(); }, 4s));
    CHECK(failures[0] + failures[1] + failures[2] >= 2);
}

// Guards against a replica that stays stopped after a failed sync, or applies
// an entry twice when it has read its log again.
TEST_CASE_FIXTURE(disk_fixture, "replica_failed_sync_takes_part_again")
{
    for (int i = 0; i < 6; ++i) {
        REQUIRE(commit_within(fmt::format("c{}", i), 3s));
    }
    for (std::size_t i = 0; i < processes.size(); ++i) {
        CAPTURE(i);
        REQUIRE(run_until([&] {
            // The sync of a snapshot that is still being stored may fail
            // instead, which does not stop the replica.
            if (failures[i] == 0) {
                disks[i]->syncs_until_failure = 0;
            }
            return commit_within(fmt::format("failed{}", i), 3s) &&
                   failures[i] != 0;
        }));
        CHECK(run_until([this] { return converged(); }, 4s));
    }
    CHECK(commit_within("after", 3s));
}

// Guards against elections, and commands of unknown outcome, while the disks
// take longer than the election time-out.
TEST_CASE_FIXTURE(disk_fixture, "replica_slow_disks_keep_the_leader")
{
    REQUIRE(commit("first"));
    const process* const first = leader();
    const std::uint64_t term = first->core->term();
    for (const auto& each : disks) {
        each->sync_delay = 200ms;
    }
    // Includes the time of a snapshot.
    for (int i = 0; i < 6; ++i) {
        CHECK(commit(fmt::format("slow{}", i)));
        CHECK(first->core->has_lease());
    }
    CHECK(leader() == first);
    CHECK(first->core->term() == term);
}

// Guards against a leader whose disk does not respond and that keeps the group
// from accepting commands.
TEST_CASE_FIXTURE(disk_fixture, "replica_stalled_disk_hands_leadership_over")
{
    REQUIRE(commit("first"));
    const process* const first = leader();
    for (std::size_t i = 0; i < processes.size(); ++i) {
        if (processes[i].get() == first) {
            disks[i]->sync_delay = 4s;
        }
    }
    bool ended = false;
    first->core->propose("stalled", [&](const auto&) { ended = true; });
    CHECK(run_until([&] { return leader() != nullptr && leader() != first; },
                    3s));
    CHECK(commit_within("second", 1s));
    for (const auto& each : disks) {
        each->sync_delay = 0ms;
    }
    CHECK(run_until([&] { return ended; }));
}

// Guards against large entries that fill the disk and the memory before the
// number of entries calls for a snapshot.
TEST_CASE_FIXTURE(replica_fixture, "replica_large_entries_are_bounded_by_size")
{
    constexpr std::size_t entry_bytes = 10000;
    constexpr std::size_t limit = 20 * entry_bytes;
    base.snapshot_interval_bytes = 4 * entry_bytes;
    run_voters(1);
    for (int i = 0; i < 60; ++i) {
        // The state keeps the size of a command only.
        REQUIRE(commit(std::string(entry_bytes, 'x')));
        processes[0]->state->commands.back().resize(1);
    }
    std::uintmax_t stored = 0;
    for (const auto& each :
         std::filesystem::directory_iterator(data(processes[0]->id))) {
        stored += each.file_size();
    }
    CHECK(stored < limit);
    stop(*processes[0]);
    run(*processes[0]);
    CHECK(run_until(
        [this] { return processes[0]->state->commands.size() == 60; }));
}

// Guards against replicas that leave the group again and again while their
// disks have space for the log, but not for a snapshot.
TEST_CASE_FIXTURE(disk_fixture, "replica_refused_snapshot_keeps_its_log")
{
    for (auto& each : disks) {
        each->refused_name = "snapshot-";
    }
    for (int i = 0; i < 20; ++i) {
        REQUIRE(commit_within(fmt::format("c{}", i), 3s));
    }
    CHECK(run_until([this] { return converged(); }, 4s));
    CHECK(failures == std::vector<int>{0, 0, 0});
    const auto stored = [this](std::size_t index) {
        const auto names = system_files()->list(data(processes[index]->id));
        return std::any_of(
            names.value().begin(), names.value().end(),
            [](const auto& name) { return name.starts_with("snapshot-"); });
    };
    CHECK_FALSE(stored(0));
    for (auto& each : disks) {
        each->refused_name = "";
    }
    // A snapshot is attempted again, at the next change after the delay.
    const time_point end = loop.now() + 4s;
    while (!(stored(0) && stored(1) && stored(2)) && loop.now() < end) {
        REQUIRE(commit_within("more", 3s));
        run_until([] { return false; }, 200ms);
    }
    CHECK((stored(0) && stored(1) && stored(2)));
}

// Guards against a folder that is read again in quick succession, because its
// disk has space for what is there and none for the next entry.
TEST_CASE_FIXTURE(disk_fixture, "replica_without_space_for_an_entry_waits")
{
    REQUIRE(commit_within("first", 3s));
    REQUIRE(run_until([this] { return converged(); }));
    std::uintmax_t largest = 0;
    for (const auto& each :
         std::filesystem::directory_iterator(data(processes[0]->id))) {
        largest = std::max(largest, each.file_size());
    }
    disks[0]->max_file_bytes = largest;
    const time_point end = loop.now() + 3s;
    while (loop.now() < end) {
        REQUIRE(commit_within("more", 3s));
        run_until([] { return false; }, 20ms);
    }
    // Pauses of 0.25, 0.5, 1 and 2 s; without them about ten.
    CHECK(failures[0] >= 2);
    CHECK(failures[0] <= 4);
    disks[0]->max_file_bytes = std::numeric_limits<std::uint64_t>::max();
    CHECK(run_until([this] { return converged(); }, 4s));
}

// Guards against a replica that goes on although its folder lacks entries that
// it has applied: it would vote with a log that is too short.
TEST_CASE_FIXTURE(disk_fixture,
                  "replica_reopened_without_applied_entries_stops")
{
    REQUIRE(commit_within("first", 3s));
    REQUIRE(run_until([this] { return converged(); }));
    std::optional<error> last;
    processes[0]->core->on_failure([&](const error& e) { last = e; });
    fill_disk(0);
    REQUIRE(run_until(
        [&] { return commit_within("second", 3s) && last.has_value(); }));
    CHECK(replica::recovers_from(*last));
    std::filesystem::remove_all(data(processes[0]->id));
    free_disk(0);
    REQUIRE(run_until([&] { return last->code == errc::storage_corrupt; }));
    CHECK_FALSE(replica::recovers_from(*last));
    CHECK(commit_within("third", 3s));
    CHECK(processes[0]->core->failure().has_value());
}
