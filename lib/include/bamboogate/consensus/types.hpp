#ifndef BAMBOOGATE_CONSENSUS_TYPES_HPP
#define BAMBOOGATE_CONSENSUS_TYPES_HPP

#include <bamboogate/consensus/replicated_state.hpp>
#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bamboogate::consensus {

enum class entry_kind : std::uint8_t
{
    command = 0,
    no_op = 1,         ///< appended by every new leader
    configuration = 2, ///< data is an encoded `membership`
};

/// One record of the replicated log.
struct entry
{
    log_position position;
    entry_kind kind = entry_kind::command;
    std::string data;

    bool operator==(const entry&) const = default;
};

enum class member_role : std::uint8_t
{
    voter = 0,
    learner = 1, ///< receives the log and counts towards no quorum
};

/// One replica as the configuration knows it.
struct member
{
    node_id node;
    /// Id of the data folder that holds this member's vote. 0 means that no
    /// folder is bound yet: the initial voters before the first election, and
    /// learners before their promotion.
    incarnation folder;
    member_role role = member_role::voter;
    /// Set for a voter that lost its disk: it regains its vote by itself.
    bool promote_when_caught_up = false;

    bool operator==(const member&) const = default;
};

/// The configuration of the cluster.
struct membership
{
    std::vector<member> members;

    [[nodiscard]] const member* find(const node_id& node) const;
    [[nodiscard]] member* find(const node_id& node);
    [[nodiscard]] std::size_t voter_count() const;

    /// @brief True for a voter whose data folder has this id. An unbound voter
    ///     matches any folder.
    [[nodiscard]] bool is_voter(const node_id& node, incarnation folder) const;

    /// @brief True while some voter has no data folder bound: before the
    ///     first election of a new cluster.
    [[nodiscard]] bool has_unbound_voters() const;

    /// @brief Number of voters that decide: a majority, or every voter while
    ///     the configuration is unbound. An empty disk can then not be told
    ///     from a lost one, and a majority of empty disks must not win.
    [[nodiscard]] std::size_t quorum() const;

    bool operator==(const membership&) const = default;
};

[[nodiscard]] std::string encode_membership(const membership& members);
[[nodiscard]] result<membership> decode_membership(std::string_view bytes);

/// What a replica must never forget besides its log.
struct hard_state
{
    std::uint64_t term = 0;
    node_id voted_for; ///< empty: no vote in this term

    bool operator==(const hard_state&) const = default;
};

/// Identity of a snapshot.
struct snapshot_info
{
    log_position last; ///< last entry that the snapshot contains
    membership members;

    bool operator==(const snapshot_info&) const = default;
};

struct snapshot
{
    snapshot_info info;
    std::string data;
};

void to_json(json& document, const log_position& value);
void from_json(const json& document, log_position& value);
void to_json(json& document, const entry& value);
void from_json(const json& document, entry& value);
void to_json(json& document, const member& value);
void from_json(const json& document, member& value);
void to_json(json& document, const membership& value);
void from_json(const json& document, membership& value);
void to_json(json& document, const snapshot_info& value);
void from_json(const json& document, snapshot_info& value);

} // namespace bamboogate::consensus

#endif
