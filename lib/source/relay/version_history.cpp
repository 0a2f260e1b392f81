#include <bamboogate/relay/version_history.hpp>

namespace bamboogate::relay {

namespace {

// Commands of configurations and rollouts have other fields, so that builds
// without the history ignore these.
constexpr const char* add_field = "version_add";
constexpr const char* remove_field = "version_remove";

struct service_version
{
    service_id service;
    software_version version;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(service_version, service, version)
};

} // namespace

std::string version_history::encode_add(const service_id& service,
                                        const software_version& version)
{
    return encode_cbor(json{{add_field, service_version{service, version}}});
}

std::string version_history::encode_remove(const service_id& service,
                                           const software_version& version)
{
    return encode_cbor(json{{remove_field, service_version{service, version}}});
}

bool version_history::is_command(const json& command)
{
    return command.is_object() &&
           (command.contains(add_field) || command.contains(remove_field));
}

void version_history::apply(const json& command)
{
    const bool adds = command.contains(add_field);
    const auto change = from_document<service_version>(
        command[adds ? add_field : remove_field]);
    if (!change) {
        return;
    }
    const auto& [service, version] = change.value();
    if (adds) {
        versions_[service].insert(version);
        notify();
        return;
    }
    const auto found = versions_.find(service);
    if (found != versions_.end() && found->second.erase(version) > 0 &&
        found->second.empty()) {
        versions_.erase(found);
    }
    notify();
}

void version_history::notify() const
{
    if (observer_) {
        observer_();
    }
}

json version_history::snapshot() const
{
    json out = json::object();
    for (const auto& [service, versions] : versions_) {
        out[service.value()] = versions;
    }
    return out;
}

result<void> version_history::restore(const json& snapshot)
{
    using document = std::map<std::string, std::set<software_version>>;
    BOOST_OUTCOME_TRY(restored, from_document<document>(snapshot));
    for (auto& [service, versions] : restored) {
        versions_[service_id(service)].merge(versions);
    }
    notify();
    return outcome::success();
}

bool version_history::contains(const service_id& service,
                               const software_version& version) const
{
    const auto found = versions_.find(service);
    return found != versions_.end() && found->second.contains(version);
}

std::optional<software_version>
version_history::sole_version(const service_id& service) const
{
    const auto found = versions_.find(service);
    if (found == versions_.end() || found->second.size() != 1) {
        return std::nullopt;
    }
    return *found->second.begin();
}

} // namespace bamboogate::relay
