#ifndef BAMBOOGATE_RELAY_ROLLOUT_STORE_HPP
#define BAMBOOGATE_RELAY_ROLLOUT_STORE_HPP

#include <bamboogate/consensus/replicated_state.hpp>
#include <bamboogate/rollout/rollout.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bamboogate::relay {

/// A decision of the leader on a rollout in progress.
struct rollout_phase_change
{
    service_id service;
    std::uint64_t number = 0; ///< of the rollout that is decided on
    std::uint8_t phase = 0;   ///< value of `rollout_phase`
    std::string reason;
    /// See `rollout_record::superseded`; read with the phase `shifting`.
    std::vector<software_version> superseded;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(rollout_phase_change, service, number, phase,
                                   reason, superseded)
};

/// The part of the replicated state that holds the last rollout of each
/// service. Commands that come too late, such as those of a leader that has
/// been replaced, change nothing. Not thread safe.
class rollout_store
{
public:
    using observer = std::function<void(const rollout::rollout_record&)>;

    /// @brief Encodes the command that begins a rollout. The number and the
    ///     phase of the record are ignored.
    [[nodiscard]] static std::string
    encode_begin(const rollout::rollout_record& record);
    /// @brief Encodes the command that changes the phase of a rollout.
    [[nodiscard]] static std::string
    encode_change(const rollout_phase_change& change);
    /// @return whether a decoded command is one of these
    [[nodiscard]] static bool is_command(const json& command);

    /// @brief Applies a committed command. A rollout begins unless another one
    ///     of its service is in progress; its number is the command's index. A
    ///     phase changes to a legal successor of the rollout with that number.
    ///     All other commands are ignored.
    /// @return the number of the service's last rollout after the command, in
    ///     decimal; 0 if it never had one
    std::string apply(const consensus::log_position& position,
                      const json& command);

    /// @brief The records as an array.
    [[nodiscard]] json snapshot() const;
    /// @brief Takes over the records of a snapshot that are newer.
    /// @return an error if the snapshot cannot be decoded
    result<void> restore(const json& snapshot);

    [[nodiscard]] const std::map<service_id, rollout::rollout_record>&
    records() const
    {
        return records_;
    }
    /// @return null if the service never had a rollout
    [[nodiscard]] const rollout::rollout_record*
    find(const service_id& service) const;

    /// @brief Sets the function that is called after each change of a record.
    void on_change(observer function) { observer_ = std::move(function); }

private:
    void begin(std::uint64_t index, rollout::rollout_record record);
    void change(const rollout_phase_change& decided);
    void replace(rollout::rollout_record record);

    std::map<service_id, rollout::rollout_record> records_;
    observer observer_;
};

} // namespace bamboogate::relay

#endif
