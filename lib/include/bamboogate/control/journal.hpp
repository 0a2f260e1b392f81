#ifndef BAMBOOGATE_CONTROL_JOURNAL_HPP
#define BAMBOOGATE_CONTROL_JOURNAL_HPP

#include <bamboogate/control/declarations.hpp>
#include <bamboogate/control/messages.hpp>
#include <bamboogate/core/result.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace bamboogate::control {

/// The idempotency journal of non-idempotent calls: which gate may dispatch a
/// call, and the outcome of the call. Deterministic; logical time in
/// milliseconds (see `advance_time`) is an argument. Not thread safe.
///
/// Memory is bounded by `state_limits`: an entry has a fixed size and holds
/// digests instead of the key and the body. Answers are stored separately in
/// encoded form. New keys are refused while `journal_entries` or
/// `total_answer_bytes` is reached, because evicting an entry early would allow
/// a second run. Answers therefore never exceed `total_answer_bytes` plus
/// `answer_bytes` for each call that was open at that time.
class journal
{
public:
    /// A gate process that owns calls.
    struct owner
    {
        node_id gate;
        bamboogate::incarnation incarnation;

        auto operator<=>(const owner&) const = default;
    };

    /// Retention of aborted entries, which detect late retries.
    static constexpr std::uint64_t aborted_retention_ms = 600'000;

    /// @brief Requests permission to run a call.
    /// @param retention time of the service's answers
    /// @return the decision; `overloaded` if the journal is full (nothing is
    ///     recorded, the call did not run), `not_run` if this attempt was
    ///     aborted before, `limit_exceeded` if the call ran and its answer was
    ///     too large to store
    [[nodiscard]] result<call_decision> begin(const call_begin& request,
                                              milliseconds retention,
                                              const state_limits& limits);

    /// @brief Stores an answer. Also accepted from the owner of a call that has
    ///     been marked unknown in the meantime; the call is then complete.
    /// @return `not_found`, or `superseded` if the ticket does not own the call
    ///     or the call was aborted
    result<void> complete(const call_complete& request, std::uint64_t now_ms,
                          const state_limits& limits);

    /// @brief Marks an open call unknown; a call that has ended is unchanged.
    /// @return `not_found`, or `superseded` if the ticket does not own the call
    result<void> mark_unknown(const call_ticket& ticket, std::uint64_t now_ms);

    /// @brief Releases the key for another call. The owner guarantees that
    ///     nothing was sent and nothing will be sent. The abort of an attempt
    ///     that has not begun is recorded, so that its late begin is refused.
    /// @return `superseded` if the ticket does not own the call or the call has
    ///     an answer
    result<void> abort(const call_ticket& ticket, std::uint64_t now_ms);

    /// @brief Marks the open calls of a gate's incarnations up to `last`
    ///     unknown.
    /// @return their number
    std::size_t end_incarnation(const node_id& gate,
                                bamboogate::incarnation last,
                                std::uint64_t now_ms);

    /// @brief Removes entries whose retention has ended. Open calls are kept.
    /// @return the number of removed entries
    std::size_t expire(std::uint64_t now_ms);

    /// @brief The owners of open calls.
    [[nodiscard]] std::set<owner> open_owners() const;

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
    [[nodiscard]] std::size_t answer_bytes() const noexcept
    {
        return answer_bytes_;
    }

    /// @brief Serializes the journal.
    [[nodiscard]] std::string pack() const;

    /// @return `malformed_input`; the journal is then unchanged
    result<void> unpack(std::string_view bytes);

private:
    /// Truncated SHA-256. 128 bits make deliberate collisions infeasible.
    using short_digest = std::array<unsigned char, 16>;

    enum class state : std::uint8_t
    {
        intent,
        complete,
        unknown,
        aborted,
    };

    struct entry
    {
        short_digest body{};
        std::uint64_t owner_hash = 0;
        std::uint64_t call_number = 0;
        std::uint64_t retention_ms = 0;
        std::uint64_t expires_ms = 0;
        std::unique_ptr<std::string> answer;
        state current = state::intent;
    };
    using entry_map = std::map<short_digest, entry>;

    static short_digest key_of(const call_ticket& ticket);
    static std::uint64_t owner_hash_of(const call_ticket& ticket);
    static bool owns(const call_ticket& ticket, const entry& found);
    static call_decision run_decision(const call_begin& request);
    result<call_decision> decide_existing(const call_begin& request,
                                          entry& found);
    result<entry_map::iterator> find_owned(const call_ticket& ticket);
    void end_call(const call_ticket& ticket, entry_map::iterator found,
                  state end, std::uint64_t now_ms);
    void close_intent(const owner& call_owner, const short_digest& key);

    entry_map entries_;
    std::map<owner, std::set<short_digest>> open_;
    std::size_t answer_bytes_ = 0;
};

} // namespace bamboogate::control

#endif
