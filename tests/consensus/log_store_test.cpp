#include <bamboogate/consensus/log_store.hpp>

#include <consensus/support/faulty_files.hpp>
#include <consensus/support/temporary_folder.hpp>
#include <doctest/doctest.h>

#include <fstream>

using namespace bamboogate;
using namespace bamboogate::consensus;

namespace {

namespace fs = std::filesystem;

std::string read_file(const fs::path& path)
{
    return system_files()->read(path).value();
}

void write_file(const fs::path& path, const std::string& bytes)
{
    std::ofstream(path, std::ios::binary) << bytes;
}

entry make_entry(std::uint64_t term, std::uint64_t index,
                 const std::string& data = "data")
{
    return {{term, index}, entry_kind::command, data};
}

class store_fixture
{
public:
    temporary_folder folder;
    std::shared_ptr<faulty_files> files = std::make_shared<faulty_files>();

    result<std::unique_ptr<log_store>> open(std::uint64_t segment = 8u << 20)
    {
        return log_store::open({.folder = folder.path() / "data",
                                .files = files,
                                .new_folder_id = incarnation{77},
                                .segment_bytes = segment});
    }

    fs::path segment(std::uint64_t number) const
    {
        return folder.path() / "data" /
               ("log-000000000000000" + std::to_string(number) + ".wal");
    }

    /// One batch per entry: 1 to `count`, all of term 1.
    void fill(std::uint64_t count)
    {
        auto store = open();
        REQUIRE(store);
        store.value()->write(hard_state{1, node_id("a")});
        REQUIRE(store.value()->sync());
        for (std::uint64_t i = 1; i <= count; ++i) {
            store.value()->write(make_entry(1, i));
            REQUIRE(store.value()->sync());
        }
    }
};

} // namespace

// Guards against synced records that are lost or returned after a later entry
// replaced them, and against unsynced ones that are returned.
TEST_CASE_FIXTURE(store_fixture, "log_store_reopened_returns_everything_synced")
{
    {
        auto store = open();
        REQUIRE(store);
        CHECK(store.value()->folder_id() == incarnation{77});
        store.value()->write(hard_state{3, node_id("b")});
        for (std::uint64_t i = 1; i <= 5; ++i) {
            store.value()->write(make_entry(2, i));
        }
        REQUIRE(store.value()->sync());
        // Replaces 4 and 5.
        store.value()->write(make_entry(3, 4, "other"));
        REQUIRE(store.value()->sync());
        store.value()->write(make_entry(3, 5, "never synced"));
    }
    auto store = open();
    REQUIRE(store);
    const auto stored = store.value()->take_contents();
    CHECK(stored.hard == hard_state{3, node_id("b")});
    REQUIRE(stored.entries.size() == 4);
    CHECK(stored.entries[2] == make_entry(2, 3));
    CHECK(stored.entries[3] == make_entry(3, 4, "other"));
    CHECK(stored.torn_bytes == 0);
}

// A write truncated at any byte must neither lose acknowledged entries nor
// prevent a restart.
TEST_CASE_FIXTURE(store_fixture, "log_store_torn_at_each_byte_keeps_synced")
{
    fill(3);
    const std::string intact = read_file(segment(1));
    std::size_t synced = 0;
    {
        auto store = open();
        REQUIRE(store);
        store.value()->write(make_entry(1, 4));
        store.value()->write(make_entry(1, 5));
        REQUIRE(store.value()->sync());
        synced = intact.size();
    }
    const std::string longer = read_file(segment(1));
    for (std::size_t cut = synced; cut < longer.size(); ++cut) {
        CAPTURE(cut);
        write_file(segment(1), longer.substr(0, cut));
        auto store = open();
        REQUIRE(store);
        const auto stored = store.value()->take_contents();
        CHECK(stored.hard == hard_state{1, node_id("a")});
        const std::size_t kept = stored.entries.size();
        CHECK((kept == 3 || kept == 4));
        // The log accepts new entries after the truncation.
        store.value()->write(make_entry(2, kept + 1, "new"));
        REQUIRE(store.value()->sync());
        store.value().reset();
        auto again = open();
        REQUIRE(again);
        CHECK(again.value()->take_contents().entries.size() == kept + 1);
    }
}

// Guards against starting with damaged data: a synced record that fails
// verification must prevent the start, whichever byte is damaged.
TEST_CASE_FIXTURE(store_fixture, "log_store_flip_in_synced_record_refuses")
{
    fill(3);
    const std::string intact = read_file(segment(1));
    std::size_t last_batch = 0;
    {
        fill(0); // one more batch: the hard state again
        last_batch = intact.size();
    }
    const std::string longer = read_file(segment(1));
    REQUIRE(longer.size() > last_batch);
    for (std::size_t at = 0; at < longer.size(); ++at) {
        for (const char mask : {'\x01', '\x80'}) {
            CAPTURE(at);
            std::string damaged = longer;
            damaged[at] = static_cast<char>(damaged[at] ^ mask);
            write_file(segment(1), damaged);
            const auto store = open();
            if (at < last_batch) {
                REQUIRE_FALSE(store);
                CHECK(store.error().code == errc::storage_corrupt);
            } else {
                // The last batch may be a torn write and is never accepted.
                CHECK((store || store.error().code == errc::storage_corrupt));
                if (store) {
                    CHECK(store.value()->take_contents().torn_bytes > 0);
                }
            }
        }
    }
}

// Guards against a truncated or missing older segment that is taken for a torn
// write: everything in it was acknowledged.
TEST_CASE_FIXTURE(store_fixture, "log_store_damaged_older_segment_refuses")
{
    {
        auto store = open(200);
        REQUIRE(store);
        for (std::uint64_t i = 1; i <= 20; ++i) {
            store.value()->write(make_entry(1, i));
            REQUIRE(store.value()->sync());
        }
    }
    REQUIRE(fs::exists(segment(3)));
    const std::string older = read_file(segment(2));
    write_file(segment(2), older.substr(0, older.size() - 1));
    CHECK(open(200).error().code == errc::storage_corrupt);
    fs::remove(segment(2));
    CHECK(open(200).error().code == errc::storage_corrupt);
    write_file(segment(2), older);
    auto store = open(200);
    REQUIRE(store);
    CHECK(store.value()->take_contents().entries.size() == 20);
}

// A failed sync must not be retried: the kernel may then report success
// although the data was lost.
TEST_CASE_FIXTURE(store_fixture, "log_store_failed_sync_is_final")
{
    auto store = open();
    REQUIRE(store);
    files->syncs_until_failure = 0;
    store.value()->write(make_entry(1, 1));
    CHECK(store.value()->sync().error().code == errc::storage_failed);
    const auto syncs = files->syncs.load();
    CHECK(store.value()->sync().error().code == errc::storage_failed);
    CHECK(store.value()->save_snapshot({}, false).error().code ==
          errc::storage_failed);
    CHECK(files->syncs == syncs);
}

// Guards against entries that a failed sync left in the page cache only: a
// folder that is opened again after the failure must write them anew.
TEST_CASE_FIXTURE(store_fixture, "log_store_reopened_after_failure_rewrites")
{
    fill(2);
    {
        auto store = open();
        REQUIRE(store);
        files->syncs_until_failure = 0;
        store.value()->write(make_entry(1, 3));
        CHECK(store.value()->sync().error().code == errc::storage_failed);
    }
    const auto failed = folder.path() / "failed";
    fs::create_hard_link(segment(1), failed);
    {
        auto store = log_store::open({.folder = folder.path() / "data",
                                      .files = files,
                                      .new_folder_id = incarnation{77},
                                      .rewrite_newest_segment = true});
        REQUIRE(store);
        CHECK(store.value()->take_contents().entries.size() == 3);
        store.value()->write(make_entry(1, 4));
        REQUIRE(store.value()->sync());
    }
    CHECK_FALSE(fs::equivalent(segment(1), failed));
    auto again = open();
    REQUIRE(again);
    CHECK(again.value()->take_contents().entries.size() == 4);
}

// An entry that did not fit on the disk, cut at any byte, must be neither
// acknowledged nor partially read after a restart.
TEST_CASE_FIXTURE(store_fixture, "log_store_full_disk_keeps_synced")
{
    for (std::uint64_t free_bytes = 0; free_bytes < 80; ++free_bytes) {
        CAPTURE(free_bytes);
        fs::remove_all(folder.path() / "data");
        files->capacity = std::numeric_limits<std::uint64_t>::max();
        {
            auto store = open();
            REQUIRE(store);
            store.value()->write(make_entry(1, 1));
            REQUIRE(store.value()->sync());
            files->capacity = free_bytes;
            store.value()->write(make_entry(1, 2, std::string(100, 'x')));
            CHECK(store.value()->sync().error().code == errc::storage_full);
            CHECK(store.value()->sync().error().code == errc::storage_full);
        }
        files->capacity = std::numeric_limits<std::uint64_t>::max();
        auto store = open();
        REQUIRE(store);
        CHECK(store.value()->take_contents().entries.size() == 1);
    }
}

// Guards against a folder that cannot be opened after a power loss that kept
// some of the removals of old segments and lost others.
TEST_CASE_FIXTURE(store_fixture, "log_store_power_loss_after_removals_opens")
{
    constexpr std::uint64_t entries = 12;
    const auto save = [&] {
        fs::remove_all(folder.path() / "data");
        auto store = open(100);
        REQUIRE(store);
        for (std::uint64_t i = 1; i <= entries; ++i) {
            store.value()->write(make_entry(1, i));
            REQUIRE(store.value()->sync());
        }
        REQUIRE(
            store.value()->save_snapshot({{{1, entries}, {}}, "state"}, false));
    };
    save();
    const std::size_t changes = files->unsynced_changes();
    for (std::uint64_t lost = 0; lost < (1U << changes); ++lost) {
        CAPTURE(lost);
        save();
        files->lose_changes(lost);
        auto store = open(100);
        REQUIRE(store);
        CHECK(store.value()->take_contents().snapshot.last.index == entries);
    }
}

// Guards against the loss of both snapshots in a power loss: the older one was
// removed at opening while the name of the newer one was not on the disk yet.
TEST_CASE_FIXTURE(store_fixture, "log_store_unsynced_snapshot_name_keeps_older")
{
    {
        auto store = open();
        REQUIRE(store);
        for (std::uint64_t i = 1; i <= 4; ++i) {
            store.value()->write(make_entry(1, i));
            REQUIRE(store.value()->sync());
        }
        REQUIRE(store.value()->save_snapshot({{{1, 2}, {}}, "older"}, false));
        files->folder_syncs_until_failure = 0;
        CHECK_FALSE(
            store.value()->save_snapshot({{{1, 4}, {}}, "newer"}, false));
        files->folder_syncs_until_failure =
            std::numeric_limits<std::uint64_t>::max();
    }
    REQUIRE(open());
    // The rename of the newer snapshot comes before what the opening removed.
    files->lose_changes(1);
    auto store = open();
    REQUIRE(store);
    CHECK(store.value()->take_contents().snapshot.last.index == 4);
}

// Guards against a log that grows without bound, and against a hard state or
// entries that are lost with the removed segments.
TEST_CASE_FIXTURE(store_fixture, "log_store_snapshot_replaces_older_log")
{
    membership members;
    members.members.push_back({.node = node_id("a"), .folder = {5}});
    {
        auto store = open(200);
        REQUIRE(store);
        store.value()->write(hard_state{7, node_id("b")});
        for (std::uint64_t i = 1; i <= 20; ++i) {
            store.value()->write(make_entry(1, i));
            REQUIRE(store.value()->sync());
        }
        REQUIRE(store.value()->save_snapshot({{{1, 15}, members}, "state 15"},
                                             false));
        REQUIRE(store.value()->save_snapshot({{{1, 18}, members}, "state 18"},
                                             false));
        CHECK_FALSE(fs::exists(segment(1)));
        store.value()->write(make_entry(1, 21));
        REQUIRE(store.value()->sync());
        const auto part = store.value()->read_snapshot({1, 18}, 6, 1);
        REQUIRE(part);
        CHECK(part.value().data == "1");
        CHECK_FALSE(part.value().last);
        CHECK(store.value()->read_snapshot({1, 15}, 0, 1).error().code ==
              errc::not_found);
    }
    auto store = open(200);
    REQUIRE(store);
    const auto stored = store.value()->take_contents();
    CHECK(stored.hard.term == 7);
    CHECK(stored.snapshot.last == log_position{1, 18});
    CHECK(stored.snapshot.members == members);
    REQUIRE(stored.entries.size() == 3);
    CHECK(stored.entries.back().position.index == 21);
    CHECK(store.value()->read_snapshot().value() == "state 18");
}

// Entries replaced by a snapshot from the leader must not reappear, even if the
// process ends between storing the snapshot and discarding the log.
TEST_CASE_FIXTURE(store_fixture, "log_store_installed_snapshot_drops_log")
{
    fill(5);
    const std::string log = read_file(segment(1));
    const snapshot installed{{{4, 3}, {}}, "leader's state"};
    {
        auto store = open();
        REQUIRE(store);
        REQUIRE(store.value()->save_snapshot(installed, true));
        store.value()->write(make_entry(4, 4, "new"));
        REQUIRE(store.value()->sync());
    }
    {
        auto store = open();
        REQUIRE(store);
        const auto stored = store.value()->take_contents();
        CHECK(stored.hard.term == 1);
        REQUIRE(stored.entries.size() == 1);
        CHECK(stored.entries[0] == make_entry(4, 4, "new"));
    }
    // Simulates the crash: the snapshot is stored, the old log still exists.
    fs::remove(segment(2));
    write_file(segment(1), log);
    for (int opened = 0; opened < 2; ++opened) {
        auto store = open();
        REQUIRE(store);
        CHECK(store.value()->take_contents().entries.size() ==
              static_cast<std::size_t>(opened));
        store.value()->write(make_entry(4, 4 + opened, "new"));
        REQUIRE(store.value()->sync());
    }
}

// Guards against starting from a damaged or truncated snapshot, whichever byte
// is affected.
TEST_CASE_FIXTURE(store_fixture, "log_store_damaged_snapshot_refuses")
{
    {
        auto store = open();
        REQUIRE(store);
        store.value()->write(make_entry(1, 1));
        REQUIRE(store.value()->sync());
        REQUIRE(store.value()->save_snapshot({{{1, 1}, {}}, "state"}, false));
    }
    fs::path path;
    for (const auto& each : fs::directory_iterator(folder.path() / "data")) {
        if (each.path().filename().string().starts_with("snapshot-")) {
            path = each.path();
        }
    }
    const std::string intact = read_file(path);
    for (std::size_t at = 0; at < intact.size(); ++at) {
        CAPTURE(at);
        std::string damaged = intact;
        damaged[at] = static_cast<char>(damaged[at] ^ 4);
        write_file(path, damaged);
        CHECK(open().error().code == errc::storage_corrupt);
        write_file(path, intact.substr(0, at));
        CHECK(open().error().code == errc::storage_corrupt);
    }
}

// Guards against two processes writing the same log.
TEST_CASE_FIXTURE(store_fixture, "log_store_folder_in_use_refuses")
{
    auto first = open();
    REQUIRE(first);
    CHECK(open().error().code == errc::storage_failed);
    first.value().reset();
    CHECK(open());
}

// Guards against a folder that is mistaken for another one: votes and
// acknowledgements are tied to the folder id.
TEST_CASE_FIXTURE(store_fixture, "log_store_folder_id_missing_or_bad_refuses")
{
    fill(2);
    const fs::path id = folder.path() / "data" / "incarnation";
    const std::string text = read_file(id);
    for (const std::string bad : {"", "x\n", "77", "0\n"}) {
        write_file(id, bad);
        CHECK(open().error().code == errc::storage_corrupt);
    }
    for (std::size_t at = 0; at < text.size(); ++at) {
        CAPTURE(at);
        std::string damaged = text;
        damaged[at] = static_cast<char>(damaged[at] ^ 1);
        write_file(id, damaged);
        CHECK(open().error().code == errc::storage_corrupt);
    }
    // The id of another folder, valid by itself.
    {
        temporary_folder other;
        auto store = log_store::open(
            {.folder = other.path(), .new_folder_id = incarnation{78}});
        REQUIRE(store);
        fs::copy_file(other.path() / "incarnation", id,
                      fs::copy_options::overwrite_existing);
    }
    CHECK(open().error().code == errc::storage_corrupt);
    fs::remove(id);
    CHECK(open().error().code == errc::storage_corrupt);
    write_file(id, text);
    CHECK(open());
}
