#ifndef BAMBOOGATE_RELAY_CONFIGURATION_STORE_HPP
#define BAMBOOGATE_RELAY_CONFIGURATION_STORE_HPP

#include <bamboogate/consensus/replicated_state.hpp>
#include <bamboogate/relay/departure_history.hpp>
#include <bamboogate/relay/messages.hpp>
#include <bamboogate/relay/rollout_store.hpp>
#include <bamboogate/relay/version_history.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bamboogate::relay {

/// Replicated state that holds the configuration: the committed document with
/// the highest version, and beside it the rollouts, the software versions in
/// use and the departures of upstreams. Documents with a lower or equal version
/// are ignored. Must be called from the replica's loop thread only.
class configuration_store : public consensus::replicated_state
{
public:
    using observer = std::function<void(
        const std::shared_ptr<const configuration_document>&)>;

    configuration_store();

    /// @brief Encodes the command that stores a document.
    [[nodiscard]] static std::string
    encode_command(const store_configuration& change);

    /// @brief Applies a committed command; malformed ones are ignored.
    /// @return the version in effect after the command, in decimal; after a
    ///     command of a rollout see `rollout_store::apply`
    std::string apply(const consensus::log_position& position,
                      std::string_view command) override;
    [[nodiscard]] std::string snapshot() const override;
    /// @brief Loads a snapshot, except for what is not newer. Snapshots of
    ///     earlier builds contain no rollouts, software versions or departures.
    /// @return an error if the snapshot cannot be decoded
    result<void> restore(std::string_view snapshot) override;

    /// @brief The document in effect; version 0 if none is stored.
    [[nodiscard]] const std::shared_ptr<const configuration_document>&
    current() const
    {
        return current_;
    }

    /// @brief The rollouts, whose commands and snapshots pass through this
    ///     store.
    [[nodiscard]] const rollout_store& rollouts() const { return rollouts_; }
    [[nodiscard]] rollout_store& rollouts() { return rollouts_; }

    /// @brief The software versions in use, whose commands and snapshots pass
    ///     through this store.
    [[nodiscard]] const version_history& versions() const { return versions_; }
    [[nodiscard]] version_history& versions() { return versions_; }

    /// @brief The departures of upstreams, whose commands and snapshots pass
    ///     through this store.
    [[nodiscard]] const departure_history& departures() const
    {
        return departures_;
    }
    [[nodiscard]] departure_history& departures() { return departures_; }

    /// @brief Sets the function that is called after each change of the
    ///     document.
    void on_change(observer function) { observer_ = std::move(function); }

private:
    void replace(configuration_document document);

    std::shared_ptr<const configuration_document> current_;
    rollout_store rollouts_;
    version_history versions_;
    departure_history departures_;
    observer observer_;
};

} // namespace bamboogate::relay

#endif
