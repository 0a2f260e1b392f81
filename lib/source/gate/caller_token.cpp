#include <bamboogate/gate/caller_token.hpp>

#include <span>

namespace bamboogate::gate {

namespace {

constexpr std::size_t mac_bytes = 12; // HMAC-SHA-256 truncated to 96 bits
constexpr char separator = '.';

std::string mac_of(const request_id& request, const client_account_id& account,
                   const secret& shared_secret)
{
    const std::string text =
        "caller-token\n" + request.value() + "\n" + account.value();
    const digest mac =
        hmac_sha256(shared_secret, std::as_bytes(std::span(text)));
    return to_hex(std::span(mac).first(mac_bytes));
}

} // namespace

std::string caller_token(const request_id& request,
                         const client_account_id& account,
                         const secret& shared_secret)
{
    return request.value() + separator +
           mac_of(request, account, shared_secret);
}

result<request_id> check_caller_token(std::string_view token,
                                      const client_account_id& account,
                                      const secret& shared_secret)
{
    const auto split = token.rfind(separator);
    if (split == std::string_view::npos || split == 0) {
        return fail(errc::invalid_argument, "malformed completion id");
    }
    request_id request(std::string(token.substr(0, split)));
    const secret expected(mac_of(request, account, shared_secret));
    if (!expected.matches(token.substr(split + 1))) {
        return fail(errc::permission_denied,
                    "the generation belongs to another client account");
    }
    return request;
}

} // namespace bamboogate::gate
