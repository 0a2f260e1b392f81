#include <bamboogate/net/tunnel_handshake.hpp>

#include <array>
#include <span>

namespace bamboogate::net {

namespace {

std::string tunnel_proof(const secret& shared_secret, std::string_view nonce,
                         std::string_view target)
{
    std::string message = "tunnel ";
    message.append(nonce).append(" ").append(target);
    const digest proof =
        hmac_sha256(shared_secret, std::as_bytes(std::span(message)));
    return to_hex(proof);
}

} // namespace

std::string make_tunnel_nonce()
{
    std::array<std::byte, tunnel_nonce_chars / 2> bytes{};
    fill_random(bytes);
    return to_hex(bytes);
}

std::string make_tunnel_request(const secret& shared_secret,
                                std::string_view nonce, const address& target)
{
    const std::string text = target.text();
    return tunnel_proof(shared_secret, nonce, text) + ' ' + text + '\n';
}

std::optional<address> read_tunnel_request(const secret& shared_secret,
                                           std::string_view nonce,
                                           std::string_view request)
{
    const auto space = request.find(' ');
    if (space == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view target = request.substr(space + 1);
    const secret expected(tunnel_proof(shared_secret, nonce, target));
    if (!expected.matches(request.substr(0, space))) {
        return std::nullopt;
    }
    const auto parsed = parse_address(target);
    return parsed ? std::optional(parsed.value()) : std::nullopt;
}

} // namespace bamboogate::net
