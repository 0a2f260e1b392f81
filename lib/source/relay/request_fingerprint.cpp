#include <bamboogate/core/secret.hpp>
#include <bamboogate/relay/request_fingerprint.hpp>

#include <fmt/format.h>

#include <span>

namespace bamboogate::relay {

namespace {

/// Ids of prompt parts contain no colon, which separates them on the wire.
constexpr std::string_view prefix = "request:";
/// Bytes of the hash that are kept.
constexpr std::size_t kept_bytes = 16;

/// The length keeps a field apart from the next one.
void append_field(std::string& message, std::string_view field)
{
    message.append(fmt::format("{} ", field.size())).append(field);
}

} // namespace

bool is_request_fingerprint(std::string_view text)
{
    return text.starts_with(prefix);
}

std::string request_fingerprint(const net::http1_request& request,
                                const request_description& description,
                                const client_account_id& account)
{
    std::string message;
    append_field(message, request.method);
    append_field(message, request.target);
    append_field(message, account.value());
    append_field(message, description.prompt);
    for (const auto& part : description.shared_parts) {
        append_field(message, part);
    }
    append_field(message, request.body);
    const digest hash = sha256(message);
    return fmt::format("{}{}", prefix,
                       to_hex(std::span(hash).first(kept_bytes)));
}

} // namespace bamboogate::relay
