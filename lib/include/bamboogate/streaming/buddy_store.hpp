#ifndef BAMBOOGATE_STREAMING_BUDDY_STORE_HPP
#define BAMBOOGATE_STREAMING_BUDDY_STORE_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/streaming/messages.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bamboogate::streaming {

/// The copy of a generation that another gate owns.
struct held_copy
{
    node_id owner;
    lineage history;
    generation_request request;
    std::vector<std::string> tokens;
    attempt_fields attempt;
    std::optional<finish_info> finish;
    /// False until the previous buddies have released their copies; an
    /// unconfirmed copy is neither acknowledged nor taken over.
    bool confirmed = true;
    time_point last_contact;
    std::size_t bytes = 0; ///< estimated memory use

    [[nodiscard]] std::uint64_t epoch() const { return history.back().epoch; }
};

/// Stores the copies that this gate holds for other gates and decides who owns
/// a generation: the owner with the highest epoch. Performs no I/O, takes the
/// time as an argument and is bounded in memory. Not thread safe.
class buddy_store
{
public:
    struct options
    {
        std::size_t max_bytes = 512u << 20;
        /// A copy is discarded when its owner has been unreachable for this
        /// long.
        duration orphan_limit = std::chrono::seconds(40);
        /// Epochs of taken-over generations are retained for this long, so
        /// that an owner that was suspended learns that it was superseded.
        duration epoch_retention = std::chrono::minutes(10);
        /// Above this number the oldest epoch records are discarded.
        std::size_t max_epochs = 65536;
    };

    /// The message to the owner; `std::monostate` when none is to be sent, as
    /// for an unconfirmed copy.
    using reply =
        std::variant<std::monostate, token_ack, superseded, copy_missing>;

    explicit buddy_store(const options& settings) : settings_(settings) {}

    /// @brief Stores a complete copy and replaces an older one.
    /// @param confirmed whether the copy may be acknowledged and taken over at
    ///     once
    reply put(generation_copy copy, const node_id& owner, bool confirmed,
              time_point now);

    /// @brief Confirms a copy after the previous buddies released theirs.
    /// @return the acknowledgement, or nothing when the copy is no longer held
    reply confirm(const request_id& id, std::uint64_t epoch);

    /// @brief Appends tokens. A batch that leaves a gap is answered with the
    ///     number of tokens held, so that the owner resends from there.
    reply append(const token_batch& batch, const node_id& owner,
                 time_point now);

    /// @brief Discards a copy unless its epoch is newer than `epoch`.
    void discard(const request_id& id, std::uint64_t epoch);

    /// @brief Releases a copy in favour of another buddy.
    /// @return the newest epoch known here; greater than `epoch` when the
    ///     generation was taken over
    std::uint64_t release_copy(const request_id& id, std::uint64_t epoch);

    [[nodiscard]] const held_copy* find(const request_id& id) const;

    /// @brief Removes a copy for takeover and records the new epoch.
    /// @pre a confirmed copy is held
    [[nodiscard]] held_copy extract_for_takeover(const request_id& id,
                                                 std::uint64_t new_epoch,
                                                 time_point now);

    /// @brief Records an epoch; owners of older epochs are refused from then
    ///     on.
    void record_epoch(const request_id& id, std::uint64_t epoch,
                      time_point now);

    /// @brief Discards copies of unreachable owners and expired epoch records.
    void expire(time_point now,
                const std::function<bool(const node_id&)>& is_up);

    [[nodiscard]] std::size_t size() const { return copies_.size(); }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    struct epoch_record
    {
        std::uint64_t epoch = 0;
        time_point expires;
    };

    [[nodiscard]] std::uint64_t known_epoch(const request_id& id) const;
    [[nodiscard]] static reply ack_of(const request_id& id,
                                      const held_copy& copy);
    void set_bytes(held_copy& copy, std::size_t bytes);
    void erase(const request_id& id);

    options settings_;
    std::unordered_map<request_id, held_copy> copies_;
    std::unordered_map<request_id, epoch_record> epochs_;
    std::deque<request_id> epoch_order_;
    std::size_t bytes_ = 0;
};

} // namespace bamboogate::streaming

#endif
