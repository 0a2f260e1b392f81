#include <bamboogate/control/commands.hpp>

#include <fmt/format.h>

namespace bamboogate::control {

namespace {

// Commands carry complete declarations; the log limits a command to 4 MiB.
constexpr parse_limits command_limits{.max_bytes = 16u << 20, .max_depth = 64};

template <typename Command>
bool decode_as(const std::string& type, const json& body, result<command>& out)
{
    if (type != Command::type) {
        return false;
    }
    auto decoded = from_document<Command>(body);
    if (decoded) {
        out = command(std::move(decoded).value());
    } else {
        out = std::move(decoded).error();
    }
    return true;
}

template <typename... Commands>
result<command> decode_any(const std::string& type, const json& body,
                           const std::variant<Commands...>* /*types*/)
{
    result<command> out =
        fail(errc::malformed_input, "unknown command " + type);
    (void)(decode_as<Commands>(type, body, out) || ...);
    return out;
}

} // namespace

std::string encode_command(const command& value)
{
    return std::visit(
        [](const auto& each) {
            json document = json::array();
            document.push_back(command_version);
            document.push_back(std::decay_t<decltype(each)>::type);
            document.push_back(json(each));
            return encode_cbor(document);
        },
        value);
}

result<command> decode_command(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(document, decode_cbor(bytes, command_limits));
    if (!document.is_array() || document.size() != 3 ||
        !document[0].is_number_unsigned() || !document[1].is_string()) {
        return fail(errc::malformed_input, "not a command");
    }
    if (document[0].get<std::uint64_t>() != command_version) {
        return fail(errc::malformed_input,
                    fmt::format("command version {}, known is {}",
                                document[0].get<std::uint64_t>(),
                                command_version));
    }
    return decode_any(document[1].get_ref<const std::string&>(), document[2],
                      static_cast<const command*>(nullptr));
}

command_response command_response::failure(errc code, std::string detail,
                                           json body)
{
    return {.ok = false,
            .code = code,
            .detail = std::move(detail),
            .body = std::move(body)};
}

std::string encode_response(const command_response& response)
{
    return encode_cbor(
        json::array({response.ok, static_cast<unsigned>(response.code),
                     response.detail, response.body}));
}

result<command_response> decode_response(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(document, decode_cbor(bytes, command_limits));
    const bool well_formed = document.is_array() && document.size() == 4 &&
                             document[0].is_boolean() &&
                             document[1].is_number_unsigned() &&
                             document[1].get<std::uint64_t>() <=
                                 static_cast<std::uint64_t>(errc::internal) &&
                             document[2].is_string();
    if (!well_formed) {
        return fail(errc::malformed_input, "not a command response");
    }
    return command_response{
        .ok = document[0].get<bool>(),
        .code = static_cast<errc>(document[1].get<std::uint16_t>()),
        .detail = document[2].get<std::string>(),
        .body = std::move(document[3])};
}

} // namespace bamboogate::control
