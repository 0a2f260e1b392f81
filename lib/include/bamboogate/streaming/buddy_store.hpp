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

/// A copy of another gate's generation.
struct held_copy
{
    node_id owner;
    lineage history;
    generation_request request;
    std::vector<std::string> tokens;
    attempt_fields attempt;
    std::optional<finish_info> finish;
    /// False until the previous buddy has given its copy up.
    bool confirmed = true;
    time_point last_contact;
    std::size_t bytes = 0;

    [[nodiscard]] std::uint64_t epoch() const { return history.back().epoch; }
};

/// The copies that a gate holds for other gates, and the decision who owns a
/// generation: the highest epoch given out. Pure and bounded in memory.
class buddy_store
{
public:
    struct options
    {
        std::size_t max_bytes = 512u << 20;
        /// A copy whose owner is not heard of is dropped after this time.
        duration orphan_limit = std::chrono::seconds(40);
        /// Epochs of generations taken over are remembered this long, so that
        /// a frozen owner learns on waking that it was superseded.
        duration epoch_retention = std::chrono::minutes(10);
        std::size_t max_epochs = 65536;
    };

    using reply =
        std::variant<std::monostate, token_ack, superseded, copy_missing>;

    explicit buddy_store(const options& settings) : settings_(settings) {}

    /// @brief Stores a whole copy in place of an older one.
    /// @param confirmed whether it may be acknowledged and taken over already
    reply put(generation_copy copy, const node_id& owner, bool confirmed,
              time_point now);

    /// @brief The previous buddy has given up its copy. @return the ack
    reply confirm(const request_id& id, std::uint64_t epoch);

    /// @brief Appends tokens. A batch that does not fit is answered with what
    ///     is held, so that the owner sends again from there.
    reply append(const token_batch& batch, const node_id& owner,
                 time_point now);

    /// @brief Drops a copy unless it is of a newer epoch.
    void discard(const request_id& id, std::uint64_t epoch);

    /// @brief Gives a copy up to another buddy.
    /// @return the newest epoch known here; above `epoch` when the generation
    ///     was taken over
    std::uint64_t hand_off(const request_id& id, std::uint64_t epoch);

    [[nodiscard]] const held_copy* find(const request_id& id) const;

    /// @brief Removes a copy for takeover and records the new epoch.
    /// @pre a confirmed copy is held
    [[nodiscard]] held_copy extract_for_takeover(const request_id& id,
                                                 std::uint64_t new_epoch,
                                                 time_point now);

    /// @brief Records that an epoch exists. Older owners are refused.
    void record_epoch(const request_id& id, std::uint64_t epoch,
                      time_point now);

    /// @brief Drops copies of silent owners and old epoch records.
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
