#ifndef BAMBOOGATE_CONSENSUS_MESSAGES_HPP
#define BAMBOOGATE_CONSENSUS_MESSAGES_HPP

#include <bamboogate/consensus/types.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboogate::consensus {

// Every message carries the sender's term and the id of its data folder, so
// that replies from a replaced disk are not counted.

/// Pre-vote: asks whether a vote would be granted, without incrementing any
/// term.
struct request_pre_vote
{
    static constexpr std::string_view type = "request_pre_vote";
    std::uint64_t term = 0; ///< the term that the candidate would start
    incarnation folder;
    log_position last;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(request_pre_vote, term, folder, last)
};

struct request_pre_vote_reply
{
    static constexpr std::string_view type = "request_pre_vote_reply";
    std::uint64_t term = 0; ///< requested term if granted, else the sender's
    incarnation folder;
    bool granted = false;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(request_pre_vote_reply, term, folder,
                                   granted)
};

struct request_vote
{
    static constexpr std::string_view type = "request_vote";
    std::uint64_t term = 0;
    incarnation folder;
    log_position last;
    bool transfer = false; ///< election requested by the leader
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(request_vote, term, folder, last, transfer)
};

struct request_vote_reply
{
    static constexpr std::string_view type = "request_vote_reply";
    std::uint64_t term = 0;
    incarnation folder;
    bool granted = false;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(request_vote_reply, term, folder, granted)
};

/// Log entries; a heartbeat if there are none.
struct append_entries
{
    static constexpr std::string_view type = "append_entries";
    std::uint64_t term = 0;
    incarnation folder;
    log_position previous; ///< position just before the entries
    std::vector<entry> entries;
    std::uint64_t commit = 0;
    /// Send time on the leader's clock, in nanoseconds. The reply echoes it, so
    /// that the leader lease starts at the time of sending.
    std::int64_t sent_at = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(append_entries, term, folder, previous,
                                   entries, commit, sent_at)
};

struct append_entries_reply
{
    static constexpr std::string_view type = "append_entries_reply";
    std::uint64_t term = 0;
    incarnation folder;
    bool accepted = false;
    /// If accepted, the last index known to match and on disk; otherwise the
    /// highest index that may still match.
    std::uint64_t index = 0;
    std::int64_t sent_at = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(append_entries_reply, term, folder, accepted,
                                   index, sent_at)
};

/// One chunk of a snapshot.
struct install_snapshot
{
    static constexpr std::string_view type = "install_snapshot";
    std::uint64_t term = 0;
    incarnation folder;
    snapshot_info info;
    std::uint64_t offset = 0;
    std::string data;
    bool done = false; ///< last chunk
    std::int64_t sent_at = 0;
};

void to_json(json& document, const install_snapshot& value);
void from_json(const json& document, install_snapshot& value);

struct install_snapshot_reply
{
    static constexpr std::string_view type = "install_snapshot_reply";
    std::uint64_t term = 0;
    incarnation folder;
    std::uint64_t index = 0;  ///< last index of the snapshot
    std::uint64_t offset = 0; ///< next byte expected
    bool done = false;        ///< installed and on disk
    std::int64_t sent_at = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(install_snapshot_reply, term, folder, index,
                                   offset, done, sent_at)
};

/// Leadership transfer: asks a voter to start an election immediately.
struct timeout_now
{
    static constexpr std::string_view type = "timeout_now";
    std::uint64_t term = 0;
    incarnation folder;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(timeout_now, term, folder)
};

using message_body =
    std::variant<request_pre_vote, request_pre_vote_reply, request_vote,
                 request_vote_reply, append_entries, append_entries_reply,
                 install_snapshot, install_snapshot_reply, timeout_now>;

/// A message and its destination.
struct message
{
    node_id to;
    message_body body;
};

} // namespace bamboogate::consensus

#endif
