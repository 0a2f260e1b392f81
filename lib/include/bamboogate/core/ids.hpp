#ifndef BAMBOOGATE_CORE_IDS_HPP
#define BAMBOOGATE_CORE_IDS_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace bamboogate {

/// A strongly typed string identifier.
template <typename Tag>
class string_id
{
public:
    string_id() = default;
    explicit string_id(std::string value) : value_(std::move(value)) {}

    [[nodiscard]] const std::string& value() const noexcept { return value_; }
    [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

    auto operator<=>(const string_id&) const = default;

    template <typename Json>
    friend void to_json(Json& json, const string_id& id)
    {
        json = id.value_;
    }
    template <typename Json>
    friend void from_json(const Json& json, string_id& id)
    {
        json.get_to(id.value_);
    }

private:
    std::string value_;
};

/// A strongly typed number.
template <typename Tag>
struct number_id
{
    std::uint64_t value = 0;

    auto operator<=>(const number_id&) const = default;

    template <typename Json>
    friend void to_json(Json& json, const number_id& id)
    {
        json = id.value;
    }
    template <typename Json>
    friend void from_json(const Json& json, number_id& id)
    {
        json.get_to(id.value);
    }
};

using node_id = string_id<struct node_tag>;
using upstream_id = string_id<struct upstream_tag>;
using failure_domain_id = string_id<struct failure_domain_tag>;
using client_account_id = string_id<struct client_account_tag>;
using request_id = string_id<struct request_tag>;
using operation_id = string_id<struct operation_tag>;
using preset_id = string_id<struct preset_tag>;
using service_id = string_id<struct service_tag>;
/// The version of the software that an upstream runs.
using software_version = string_id<struct software_version_tag>;
using model_id = string_id<struct model_tag>;

/// Distinguishes successive starts of a process, or successive data folders;
/// larger is newer.
using incarnation = number_id<struct incarnation_tag>;
/// Version of the replicated configuration.
using revision = number_id<struct revision_tag>;

} // namespace bamboogate

template <typename Tag>
struct std::hash<bamboogate::string_id<Tag>>
{
    std::size_t operator()(const bamboogate::string_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};

template <typename Tag>
struct std::hash<bamboogate::number_id<Tag>>
{
    std::size_t operator()(const bamboogate::number_id<Tag>& id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};

#endif
