#include <bamboogate/control/declaration_json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace bamboogate::control {

namespace {

// Tolerance for rounding when decimal fractions are summed in binary floating
// point.
constexpr double share_tolerance = 1e-9;

class reference_checker
{
public:
    explicit reference_checker(const declarations& declared)
        : declared_(declared)
    {}

    std::vector<declaration_fault> run()
    {
        unique_ids("presets", declared_.presets,
                   [](const auto& e) { return e.id.value(); });
        unique_ids("service_classes", declared_.service_classes,
                   [](const auto& e) { return e.id; });
        unique_ids("client_accounts", declared_.client_accounts,
                   [](const auto& e) { return e.id.value(); });
        unique_ids("services", declared_.services,
                   [](const auto& e) { return e.id.value(); });
        unique_ids("operators", declared_.operators,
                   [](const auto& e) { return e.id; });
        unique_keys("client_accounts", declared_.client_accounts);
        unique_keys("operators", declared_.operators);
        for (std::size_t i = 0; i < declared_.presets.size(); ++i) {
            check_preset(fmt::format("/presets/{}", i), declared_.presets[i]);
        }
        check_classes();
        check_accounts();
        check_services();
        return std::move(faults_);
    }

private:
    void add(std::string path, std::string value, std::string allowed)
    {
        faults_.push_back({.path = std::move(path),
                           .value = std::move(value),
                           .allowed = std::move(allowed)});
    }

    static std::string one_of(const std::set<std::string>& names)
    {
        return names.empty() ? "none is declared"
                             : fmt::format("one of {}", fmt::join(names, ", "));
    }

    template <typename Items, typename Id>
    void unique_ids(const char* part, const Items& items, Id id_of)
    {
        std::map<std::string, std::size_t> first_use;
        for (std::size_t i = 0; i < items.size(); ++i) {
            const std::string id = id_of(items[i]);
            const auto [first, added] = first_use.emplace(id, i);
            if (!id.empty() && !added) {
                add(fmt::format("/{}/{}/id", part, i), '"' + id + '"',
                    fmt::format("an id that is not used by /{}/{}", part,
                                first->second));
            }
        }
    }

    template <typename Items>
    void unique_keys(const char* part, const Items& items)
    {
        std::map<std::string, std::size_t> first_use;
        for (std::size_t i = 0; i < items.size(); ++i) {
            const auto [first, added] =
                first_use.emplace(items[i].key_sha256, i);
            if (!items[i].key_sha256.empty() && !added) {
                add(fmt::format("/{}/{}/key_sha256", part, i),
                    items[i].key_sha256,
                    fmt::format("a key that is not used by /{}/{}", part,
                                first->second));
            }
        }
    }

    void check_preset(const std::string& path, const preset& each)
    {
        std::set<std::string> names;
        std::set<unsigned> priorities;
        double floors = 0;
        if (each.ranks.empty()) {
            add(path + "/ranks", "[]", "at least one rank");
        }
        for (std::size_t i = 0; i < each.ranks.size(); ++i) {
            const auto& rank = each.ranks[i];
            const auto rank_path = fmt::format("{}/ranks/{}", path, i);
            floors += rank.floor_share;
            if (!names.insert(rank.name).second) {
                add(rank_path + "/name", '"' + rank.name + '"',
                    "a rank name that is not used before in the preset");
            }
            if (!priorities.insert(rank.priority).second) {
                add(rank_path + "/priority", fmt::format("{}", rank.priority),
                    "a priority that is not used before in the preset");
            }
        }
        if (floors > 1 + share_tolerance) {
            add(path + "/ranks", fmt::format("floor_share sum {}", floors),
                "a sum of at most 1");
        }
        check_shares(path, each);
    }

    void check_shares(const std::string& path, const preset& each)
    {
        const auto classes = class_names();
        std::set<std::string> listed;
        double sum = 0;
        for (std::size_t i = 0; i < each.class_shares.size(); ++i) {
            const auto& share = each.class_shares[i];
            const auto share_path =
                fmt::format("{}/class_shares/{}/service_class", path, i);
            sum += share.share;
            if (!classes.contains(share.service_class)) {
                add(share_path, '"' + share.service_class + '"',
                    one_of(classes));
            }
            if (!listed.insert(share.service_class).second) {
                add(share_path, '"' + share.service_class + '"',
                    "one share for each class");
            }
        }
        if (sum > 1 + share_tolerance) {
            add(path + "/class_shares", fmt::format("share sum {}", sum),
                "a sum of at most 1");
        }
    }

    /// The rank of a class must exist in every preset, so that a preset change
    /// never leaves requests without a rank.
    void check_classes()
    {
        for (std::size_t i = 0; i < declared_.service_classes.size(); ++i) {
            const auto& each = declared_.service_classes[i];
            if (each.models.empty()) {
                add(fmt::format("/service_classes/{}/models", i), "[]",
                    "at least one model");
            }
            for (const auto& in_preset : declared_.presets) {
                std::set<std::string> ranks;
                for (const auto& rank : in_preset.ranks) {
                    ranks.insert(rank.name);
                }
                if (!ranks.contains(each.rank)) {
                    add(fmt::format("/service_classes/{}/rank", i),
                        '"' + each.rank + '"',
                        fmt::format("a rank of preset {}: {}",
                                    in_preset.id.value(), one_of(ranks)));
                }
            }
        }
    }

    void check_accounts()
    {
        const auto classes = class_names();
        std::set<std::string> services;
        for (const auto& each : declared_.services) {
            services.insert(each.id.value());
        }
        for (std::size_t i = 0; i < declared_.client_accounts.size(); ++i) {
            const auto& each = declared_.client_accounts[i];
            const auto account_path = fmt::format("/client_accounts/{}", i);
            for (std::size_t k = 0; k < each.service_classes.size(); ++k) {
                if (!classes.contains(each.service_classes[k])) {
                    add(fmt::format("{}/service_classes/{}", account_path, k),
                        '"' + each.service_classes[k] + '"', one_of(classes));
                }
            }
            for (std::size_t k = 0; k < each.services.size(); ++k) {
                if (!services.contains(each.services[k].value())) {
                    add(fmt::format("{}/services/{}", account_path, k),
                        '"' + each.services[k].value() + '"', one_of(services));
                }
            }
        }
    }

    void check_services()
    {
        static const std::set<std::string> methods = {
            "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"};
        for (std::size_t i = 0; i < declared_.services.size(); ++i) {
            const auto& listed = declared_.services[i].idempotent_methods;
            for (std::size_t k = 0; k < listed.size(); ++k) {
                if (!methods.contains(listed[k])) {
                    add(fmt::format("/services/{}/idempotent_methods/{}", i, k),
                        '"' + listed[k] + '"', one_of(methods));
                }
            }
        }
    }

    std::set<std::string> class_names() const
    {
        std::set<std::string> out;
        for (const auto& each : declared_.service_classes) {
            out.insert(each.id);
        }
        return out;
    }

    const declarations& declared_;
    std::vector<declaration_fault> faults_;
};

} // namespace

std::vector<declaration_fault> check_references(const declarations& declared)
{
    return reference_checker(declared).run();
}

} // namespace bamboogate::control
