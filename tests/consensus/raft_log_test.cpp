#include <bamboogate/consensus/raft_log.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using namespace bamboogate::consensus;

namespace {

constexpr std::size_t entry_bytes = 1000;

raft_log log_of(std::uint64_t count)
{
    raft_log out({}, {});
    for (std::uint64_t i = 1; i <= count; ++i) {
        out.append(
            {{1, i}, entry_kind::command, std::string(entry_bytes, 'x')});
    }
    return out;
}

} // namespace

// Guards against covered entries that are kept by their number alone: 256
// documents of one megabyte exceed the memory of a control replica.
TEST_CASE("raft_log_compacted_keeps_within_both_limits")
{
    auto by_bytes = log_of(20);
    by_bytes.compact({{1, 15}, {}}, {.entries = 10, .bytes = 3 * entry_bytes});
    CHECK(by_bytes.base().index == 12);
    CHECK(by_bytes.last().index == 20);
    auto by_entries = log_of(20);
    by_entries.compact({{1, 15}, {}}, {.entries = 2, .bytes = 1u << 20});
    CHECK(by_entries.base().index == 13);
    auto none = log_of(20);
    none.compact({{1, 15}, {}}, {.entries = 10, .bytes = 0});
    CHECK(none.base().index == 15);
    CHECK(none.at(16).position.index == 16);
}
