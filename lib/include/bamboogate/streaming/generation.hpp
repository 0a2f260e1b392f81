#ifndef BAMBOOGATE_STREAMING_GENERATION_HPP
#define BAMBOOGATE_STREAMING_GENERATION_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/json.hpp>
#include <bamboogate/streaming/token_sink.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::streaming {

/// Where the tokens of one owner begin. A takeover appends an entry.
struct lineage_entry
{
    std::uint64_t epoch = 0;
    std::uint64_t first_index = 0;

    bool operator==(const lineage_entry&) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(lineage_entry, epoch, first_index)
};

using lineage = std::vector<lineage_entry>;

/// @brief The epoch of a generation's first owner.
[[nodiscard]] std::uint64_t first_epoch(const node_id& owner);

/// @brief An epoch above `epoch`. Two gates that take over the same copy get
///     different epochs, because the low bits are a hash of the node.
[[nodiscard]] std::uint64_t next_epoch(std::uint64_t epoch,
                                       const node_id& owner);

/// @brief The first attempt number of an epoch: above all attempts that owners
///     of older epochs may have started without telling the buddy.
[[nodiscard]] std::uint64_t first_attempt(std::uint64_t epoch);

/// @brief Whether a caller's tokens are a prefix of this lineage.
/// @param from_index tokens that the caller has
/// @param epoch the last epoch that the caller saw; 0 is unknown
/// @return success, or `superseded` when the caller has tokens of another
///     lineage or of a newer epoch
[[nodiscard]] result<void> check_lineage(const lineage& own,
                                         std::uint64_t from_index,
                                         std::uint64_t epoch);

/// @brief XXH64 with seed 0 of all texts joined.
[[nodiscard]] std::uint64_t checksum_of(std::span<const std::string> tokens);

/// The state of one generation at its owner: attempts, tokens, what the buddy
/// holds and what was released. Pure. Each token has one index for good; tokens
/// are released in order, once, and only while this owner is not superseded.
class generation
{
public:
    enum class event_result : std::uint8_t
    {
        accepted,
        stale,        ///< of an older attempt or after the end: dropped
        out_of_order, ///< a gap, a repeated index or a wrong count
    };

    explicit generation(std::uint64_t epoch);

    /// @brief Goes on from a copy under a new epoch.
    generation(lineage held, std::uint64_t epoch,
               std::vector<std::string> tokens,
               std::optional<finish_info> finish);

    [[nodiscard]] std::uint64_t epoch() const { return lineage_.back().epoch; }
    [[nodiscard]] const lineage& history() const { return lineage_; }
    [[nodiscard]] const std::vector<std::string>& tokens() const
    {
        return tokens_;
    }
    [[nodiscard]] const std::optional<finish_info>& finish() const
    {
        return finish_;
    }
    [[nodiscard]] std::uint64_t attempt() const { return attempt_; }
    [[nodiscard]] bool attempt_running() const { return attempt_running_; }
    [[nodiscard]] bool superseded() const { return superseded_; }

    /// @brief Starts the next attempt; an attempt still running ends.
    /// @param first_index of the attempt's first token: the number of tokens
    ///     held, or 0 for an attempt that generates the prefix anew
    /// @return its number
    std::uint64_t begin_attempt(std::uint64_t first_index);
    void end_attempt() { attempt_running_ = false; }

    /// @pre text is the token's whole text
    event_result on_token(std::uint64_t attempt, std::uint64_t index,
                          std::string text);
    event_result on_finish(std::uint64_t attempt, std::string reason,
                           std::uint64_t count);

    /// @brief Whether tokens need a buddy's acknowledgement. A change forgets
    ///     what an earlier buddy held.
    void require_buddy(bool required);

    /// @brief The buddy holds the tokens below `next_index`.
    /// @param finish_held it holds the end, too
    void on_ack(std::uint64_t next_index, bool finish_held);

    [[nodiscard]] std::uint64_t acknowledged() const { return acknowledged_; }
    [[nodiscard]] bool fully_acknowledged() const;

    /// @brief Index after the last token that may be released.
    [[nodiscard]] std::uint64_t releasable() const;
    [[nodiscard]] std::uint64_t released() const { return released_; }
    [[nodiscard]] bool has_releasable() const
    {
        return released_ < releasable();
    }

    /// @brief The next token for the caller. @pre `has_releasable()`
    std::string_view release_next();

    /// @brief Whether the end may be given to the caller now.
    [[nodiscard]] bool may_finish() const;

    /// @brief The caller continues from another index, after a return.
    /// @pre from_index is at most the number of tokens held
    void rewind(std::uint64_t from_index) { released_ = from_index; }

    /// @brief Another owner has a newer epoch: nothing is released any more.
    void supersede();

private:
    lineage lineage_;
    std::vector<std::string> tokens_;
    std::optional<finish_info> finish_;
    std::uint64_t attempt_ = 0;
    std::uint64_t attempts_started_ = 0;
    std::uint64_t attempt_next_ = 0; ///< index that the attempt must send next
    bool attempt_running_ = false;
    bool buddy_required_ = false;
    bool finish_acknowledged_ = false;
    bool superseded_ = false;
    std::uint64_t acknowledged_ = 0;
    std::uint64_t released_ = 0;
};

} // namespace bamboogate::streaming

#endif
