#ifndef BAMBOOGATE_STREAMING_TOKEN_SINK_HPP
#define BAMBOOGATE_STREAMING_TOKEN_SINK_HPP

#include <bamboogate/core/error.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboogate::streaming {

/// The end of a whole answer.
struct finish_info
{
    std::string finish_reason;  ///< `stop` or `length`, from the engine
    std::uint64_t count = 0;    ///< tokens of the whole answer
    std::uint64_t checksum = 0; ///< XXH64, seed 0, of all token texts joined
    std::uint64_t attempts = 1; ///< engine attempts that the answer took

    bool operator==(const finish_info&) const = default;
};

/// Where the released tokens of a generation go: a caller's stream or a link.
/// All members are called from the loop's thread, never from inside `start`
/// or `attach`.
class token_sink
{
public:
    virtual ~token_sink() = default;

    /// @brief The lineage of the tokens that follow. Called before the first
    ///     token and when another gate has taken over. A caller that hands the
    ///     number back on its return cannot be given another lineage.
    virtual void set_epoch(std::uint64_t) {}

    /// @brief The next token; indices are contiguous from the index asked for.
    virtual void token(std::uint64_t index, std::string_view text) = 0;

    /// @brief The answer is whole. No call follows.
    virtual void finished(const finish_info& info) = 0;

    /// @brief The stream ends without an end marker. No call follows.
    ///     `superseded`: another gate or a newer connection of the caller
    ///     continues the answer; break the connection.
    virtual void failed(const error& reason) = 0;

    /// @brief False while the sink wants no tokens. Call
    ///     `generation_service::sink_ready` when it takes tokens again.
    [[nodiscard]] virtual bool ready() const = 0;
};

} // namespace bamboogate::streaming

#endif
