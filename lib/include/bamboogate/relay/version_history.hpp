#ifndef BAMBOOGATE_RELAY_VERSION_HISTORY_HPP
#define BAMBOOGATE_RELAY_VERSION_HISTORY_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/json.hpp>
#include <bamboogate/core/result.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace bamboogate::relay {

/// The part of the replicated state that lists which software versions may have
/// begun a stream of each service that callers can still resume. A version is
/// added before its first stream and removed some time after its last upstream
/// has left. If a service has one version only, the origin of a stream is known
/// even after every process has restarted. Not thread safe.
class version_history
{
public:
    /// @brief Encodes the command that adds a version.
    [[nodiscard]] static std::string
    encode_add(const service_id& service, const software_version& version);
    /// @brief Encodes the command that removes a version.
    [[nodiscard]] static std::string
    encode_remove(const service_id& service, const software_version& version);
    /// @return whether a decoded command is one of these
    [[nodiscard]] static bool is_command(const json& command);

    /// @brief Applies a committed command; malformed ones are ignored.
    void apply(const json& command);

    [[nodiscard]] json snapshot() const;
    /// @brief Takes over the versions of a snapshot, in addition to the known
    ///     ones: too many make a stream's origin unknown, too few make it
    ///     wrong.
    /// @return an error if the snapshot cannot be decoded
    result<void> restore(const json& snapshot);

    [[nodiscard]] bool contains(const service_id& service,
                                const software_version& version) const;
    /// @return the version of the service if it has one only
    [[nodiscard]] std::optional<software_version>
    sole_version(const service_id& service) const;

    [[nodiscard]] const std::map<service_id, std::set<software_version>>&
    versions() const
    {
        return versions_;
    }

    /// @brief Sets the function that is called after each change.
    void on_change(std::function<void()> function)
    {
        observer_ = std::move(function);
    }

private:
    void notify() const;

    std::function<void()> observer_;
    std::map<service_id, std::set<software_version>> versions_;
};

} // namespace bamboogate::relay

#endif
