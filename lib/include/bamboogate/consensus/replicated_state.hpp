#ifndef BAMBOOGATE_CONSENSUS_REPLICATED_STATE_HPP
#define BAMBOOGATE_CONSENSUS_REPLICATED_STATE_HPP

#include <bamboogate/core/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboogate::consensus {

/// Position of a committed command in the replicated log.
struct log_position
{
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    auto operator<=>(const log_position&) const = default;
};

/// A deterministic state machine to which a replica applies committed commands.
/// Called only from the replica's loop thread.
class replicated_state
{
public:
    virtual ~replicated_state() = default;

    /// @brief Applies one committed command.
    /// @param position strictly increasing from call to call
    /// @param command bytes as proposed
    /// @return the response, the same on every replica
    virtual std::string apply(const log_position& position,
                              std::string_view command) = 0;

    /// @brief Serializes the whole state.
    [[nodiscard]] virtual std::string snapshot() const = 0;

    /// @brief Replaces the state with a snapshot.
    /// @param snapshot as returned by `snapshot()`
    /// @return an error stops the replica
    virtual result<void> restore(std::string_view snapshot) = 0;
};

} // namespace bamboogate::consensus

#endif
