#include <bamboogate/core/secret.hpp>
#include <bamboogate/gate/authenticator.hpp>

namespace bamboogate::gate {

namespace {

constexpr std::string_view scheme = "Bearer ";
constexpr std::size_t max_key_bytes = 512;

result<std::string> key_digest(const net::http_headers& headers)
{
    BOOST_OUTCOME_TRY(key, bearer_key(headers));
    return to_hex(sha256(key));
}

} // namespace

result<std::string> bearer_key(const net::http_headers& headers)
{
    const auto value = headers.find("authorization");
    if (!value || !value->starts_with(scheme)) {
        return fail(errc::unauthenticated, "no bearer key in the request");
    }
    const std::string_view key = value->substr(scheme.size());
    if (key.empty() || key.size() > max_key_bytes) {
        return fail(errc::unauthenticated, "bearer key is empty or too long");
    }
    return std::string(key);
}

void authenticator::apply(const control::declarations& declared)
{
    clients_.clear();
    for (const auto& account : declared.client_accounts) {
        clients_.insert_or_assign(
            account.key_sha256,
            std::make_shared<control::client_account>(account));
    }
    operators_.clear();
    for (const auto& account : declared.operators) {
        operators_.insert_or_assign(account.key_sha256, account.id);
    }
}

result<std::shared_ptr<const control::client_account>>
authenticator::client_of(const net::http_headers& headers) const
{
    BOOST_OUTCOME_TRY(digest, key_digest(headers));
    const auto found = clients_.find(digest);
    if (found == clients_.end()) {
        return fail(errc::unauthenticated, "unknown client key");
    }
    return found->second;
}

result<std::string>
authenticator::operator_of(const net::http_headers& headers) const
{
    BOOST_OUTCOME_TRY(digest, key_digest(headers));
    const auto found = operators_.find(digest);
    if (found == operators_.end()) {
        return fail(errc::unauthenticated, "unknown operator key");
    }
    return found->second;
}

} // namespace bamboogate::gate
