#ifndef BAMBOOGATE_RELAY_DEPARTURE_HISTORY_HPP
#define BAMBOOGATE_RELAY_DEPARTURE_HISTORY_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/json.hpp>
#include <bamboogate/core/result.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace bamboogate::relay {

/// The starts of upstreams that have left, by their ids: the newest start of
/// each in Unix milliseconds, 0 if the upstream does not tell it.
using departed_starts = std::map<upstream_id, std::uint64_t>;

/// The part of the replicated state that lists the upstreams whose departure
/// was acknowledged, so that a delayed announcement cannot bring one of them
/// back after all processes have restarted. The leader removes a departure once
/// no announcement can be that late. Not thread safe.
class departure_history
{
public:
    /// Departures beyond this number are not recorded, because anyone who
    /// reaches a replica can report one. At the target of 600 engines, several
    /// releases of all of them fit.
    static constexpr std::size_t max_entries = 4096;
    /// Longer ids are not recorded, for the same reason.
    static constexpr std::size_t max_id_bytes = 256;

    /// @brief Encodes the command that adds a departure.
    [[nodiscard]] static std::string encode_add(const upstream_id& id,
                                                std::uint64_t started_at);
    /// @brief Encodes the command that removes departures. Later starts of the
    ///     same upstreams are kept.
    [[nodiscard]] static std::string
    encode_remove(const departed_starts& departed);
    /// @return whether a decoded command is one of these
    [[nodiscard]] static bool is_command(const json& command);

    /// @brief Applies a committed command; malformed ones are ignored.
    void apply(const json& command);

    [[nodiscard]] json snapshot() const;
    /// @brief Takes over the departures of a snapshot, in addition to the known
    ///     ones.
    /// @return an error if the snapshot cannot be decoded
    result<void> restore(const json& snapshot);

    /// @return whether the departure of this start, or of a later one, is
    ///     recorded
    [[nodiscard]] bool contains(const upstream_id& id,
                                std::uint64_t started_at) const;

    [[nodiscard]] const departed_starts& entries() const { return entries_; }

    /// @brief Sets the function that is called with each departure that is new
    ///     to this replica.
    void on_added(std::function<void(const departed_starts&)> function)
    {
        observer_ = std::move(function);
    }

private:
    void add(const departed_starts& departed);

    std::function<void(const departed_starts&)> observer_;
    departed_starts entries_;
};

} // namespace bamboogate::relay

#endif
