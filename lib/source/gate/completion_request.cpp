#include <bamboogate/core/json.hpp>
#include <bamboogate/gate/completion_request.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace bamboogate::gate {

namespace {

constexpr std::uint32_t max_tokens_limit = 131'072;
constexpr std::size_t max_name_bytes = 200;

error invalid_field(std::string_view field, std::string_view expected)
{
    return {errc::invalid_argument,
            fmt::format("field '{}' must be {}", field, expected)};
}

result<std::string> string_field(const json& body, const char* name,
                                 std::size_t max_bytes)
{
    const auto found = body.find(name);
    if (found == body.end() || !found->is_string()) {
        return invalid_field(name, "a string");
    }
    auto text = found->get<std::string>();
    if (text.empty() || text.size() > max_bytes) {
        return invalid_field(name,
                             fmt::format("1 to {} bytes long", max_bytes));
    }
    return text;
}

result<std::uint32_t> token_limit(const json& body, std::uint32_t default_limit)
{
    const auto found = body.find("max_tokens");
    if (found == body.end() || found->is_null()) {
        return default_limit;
    }
    const bool fits = found->is_number_unsigned() &&
                      found->get<std::uint64_t>() >= 1 &&
                      found->get<std::uint64_t>() <= max_tokens_limit;
    if (!fits) {
        return invalid_field(
            "max_tokens",
            fmt::format("an integer from 1 to {}", max_tokens_limit));
    }
    return found->get<std::uint32_t>();
}

result<bool> bool_field(const json& body, const char* name)
{
    const auto found = body.find(name);
    if (found == body.end() || found->is_null()) {
        return false;
    }
    if (!found->is_boolean()) {
        return invalid_field(name, "true or false");
    }
    return found->get<bool>();
}

template <typename Items, typename Value>
bool contains(const Items& items, const Value& value)
{
    return std::find(items.begin(), items.end(), value) != items.end();
}

} // namespace

result<completion_request> parse_completion_request(std::string_view body)
{
    BOOST_OUTCOME_TRY(document, parse_json(body));
    if (!document.is_object()) {
        return fail(errc::malformed_input, "the body must be a JSON object");
    }
    completion_request request;
    BOOST_OUTCOME_TRY(model, string_field(document, "model", max_name_bytes));
    request.model = model_id(model);
    BOOST_OUTCOME_TRY(
        prompt, string_field(document, "prompt", parse_limits{}.max_bytes));
    request.prompt = prompt;
    BOOST_OUTCOME_TRY(limit, token_limit(document, request.max_tokens));
    request.max_tokens = limit;
    BOOST_OUTCOME_TRY(stream, bool_field(document, "stream"));
    request.stream = stream;
    if (document.contains("service_class")) {
        BOOST_OUTCOME_TRY(
            name, string_field(document, "service_class", max_name_bytes));
        request.service_class = name;
    }
    if (document.contains("n") && document["n"] != 1) {
        return invalid_field("n", "1");
    }
    return request;
}

result<control::service_class>
resolve_service_class(const completion_request& request,
                      const control::client_account& account,
                      const control::declarations& declared)
{
    std::string name = request.service_class;
    if (name.empty() && !account.service_classes.empty()) {
        name = account.service_classes.front();
    }
    if (!contains(account.service_classes, name)) {
        return fail(errc::permission_denied,
                    fmt::format("the client account may not use the service "
                                "class '{}'",
                                name));
    }
    const auto& all = declared.service_classes;
    const auto found =
        std::find_if(all.begin(), all.end(),
                     [&](const auto& each) { return each.id == name; });
    if (found == all.end()) {
        return fail(errc::not_found,
                    fmt::format("no service class '{}'", name));
    }
    if (!contains(found->models, request.model)) {
        return fail(errc::not_found,
                    fmt::format("service class '{}' has no model '{}'", name,
                                request.model.value()));
    }
    return *found;
}

} // namespace bamboogate::gate
