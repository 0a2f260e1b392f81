#ifndef BAMBOOGATE_RELAY_READER_PACING_HPP
#define BAMBOOGATE_RELAY_READER_PACING_HPP

#include <bamboogate/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace bamboogate::relay {

/// A caller with output that it has not read.
struct slow_reader
{
    std::uint64_t connection;
    std::size_t held_bytes;
    duration unread_for; ///< since it last read
};

/// Why a caller that does not read is disconnected.
enum class reader_loss : std::uint8_t
{
    unread_limit, ///< it has read nothing for the longest time allowed
    memory,       ///< the budget is used up, and it holds most for longest
};

[[nodiscard]] std::string_view name_of(reader_loss cause);

/// Decides when a stream's engine is read no further because its caller reads
/// slowly, and which callers are disconnected. Answers the load of many callers
/// that ask for long answers and read them slowly or not at all: what a gate
/// holds for them is bounded, callers that read keep their streams, and other
/// requests keep half of the budget until callers with small bounds fill it.
/// Performs no I/O. Safe for concurrent calls, as it has no mutable state.
class reader_pacing
{
public:
    struct options
    {
        /// For all answers of the process: unread output, and answers that
        /// arrive.
        std::size_t budget_bytes = 28u << 20;
        /// Held for one stream. Most streams fit as a whole, so that their
        /// engines do not cut them off because they remain unread.
        std::size_t stream_bytes = 256u << 10;
        /// The same while more than half of the budget is used.
        std::size_t short_stream_bytes = 16u << 10;
        /// Longest time in which a caller reads nothing. Longer than any pause
        /// after which callers give up a stream themselves.
        duration unread_limit = std::chrono::seconds(60);
        /// A caller that has read within this time is not disconnected to make
        /// room for another answer.
        duration recent_read = std::chrono::seconds(1);
    };

    struct given_up
    {
        slow_reader reader;
        reader_loss cause;
    };

    explicit reader_pacing(const options& settings) : settings_(settings) {}

    /// @param used_bytes of the budget
    /// @return whether reading for a stream pauses
    [[nodiscard]] bool pauses(std::size_t held_bytes,
                              std::size_t used_bytes) const
    {
        return held_bytes > pause_mark(used_bytes);
    }

    /// @return the unread bytes of a paused stream at which reading goes on
    [[nodiscard]] std::size_t resume_mark(std::size_t used_bytes) const
    {
        return pause_mark(used_bytes) / 2;
    }

    /// @brief True if callers have to be disconnected at once.
    [[nodiscard]] bool exhausted(std::size_t used_bytes) const
    {
        return used_bytes > settings_.budget_bytes;
    }

    /// @brief Chooses callers to disconnect: those beyond the limit of time,
    ///     then, until the budget suffices, those that hold the most for the
    ///     longest time (bytes times time).
    /// @param used_bytes of the budget, including those of the readers
    /// @param needed_bytes for an answer that arrives; no caller is
    ///     disconnected for it in vain
    [[nodiscard]] std::vector<given_up>
    choose_given_up(std::span<const slow_reader> readers,
                    std::size_t used_bytes, std::size_t needed_bytes) const;

private:
    [[nodiscard]] std::size_t pause_mark(std::size_t used_bytes) const
    {
        return used_bytes > settings_.budget_bytes / 2
                   ? settings_.short_stream_bytes
                   : settings_.stream_bytes;
    }

    options settings_;
};

} // namespace bamboogate::relay

#endif
