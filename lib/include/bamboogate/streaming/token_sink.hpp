#ifndef BAMBOOGATE_STREAMING_TOKEN_SINK_HPP
#define BAMBOOGATE_STREAMING_TOKEN_SINK_HPP

#include <bamboogate/core/error.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboogate::streaming {

/// The finish of a complete answer.
struct finish_info
{
    std::string finish_reason;  ///< `stop` or `length`, from the engine
    std::uint64_t count = 0;    ///< tokens of the complete answer
    std::uint64_t checksum = 0; ///< XXH64, seed 0, of the joined token texts
    std::uint64_t attempts = 1; ///< engine attempts that the answer took

    bool operator==(const finish_info&) const = default;
};

/// Receives the released tokens of a generation: a caller's stream or a link.
/// All members are called on the event loop's thread, never before `start` or
/// `attach` has returned.
class token_sink
{
public:
    virtual ~token_sink() = default;

    /// @brief Another gate holds the generation, or none is reachable: the id
    ///     may be given to the caller. Called once, on the sink of `start` or
    ///     the one that has replaced it, before its first token and its
    ///     `finished`; not called for a generation that was taken over.
    virtual void accepted() {}

    /// @brief Sets the epoch of the tokens that follow. Called before the first
    ///     token and when another gate has taken over. A caller that sends the
    ///     epoch back when it reconnects never receives another lineage.
    virtual void set_epoch(std::uint64_t) {}

    /// @brief The next token; indices are contiguous from the requested index.
    virtual void token(std::uint64_t index, std::string_view text) = 0;

    /// @brief The answer is complete. No call follows.
    virtual void finished(const finish_info& info) = 0;

    /// @brief The stream ends without an end marker. No call follows.
    ///     `superseded`: another gate or a newer connection of the caller
    ///     continues the answer; abort the connection.
    virtual void failed(const error& reason) = 0;

    /// @brief False while the sink accepts no tokens. Call
    ///     `generation_service::sink_ready` when it accepts tokens again.
    [[nodiscard]] virtual bool ready() const = 0;
};

} // namespace bamboogate::streaming

#endif
