#include <bamboogate/core/secret.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdlib>

namespace bamboogate {

namespace {

const unsigned char* raw(const void* data)
{
    return static_cast<const unsigned char*>(data);
}

} // namespace

bool secret::matches(std::string_view candidate) const noexcept
{
    // Comparing digests makes the time independent of the position of the first
    // difference and of the candidate's length.
    const digest own = sha256(value_);
    const digest other = sha256(candidate);
    return equal_constant_time(own, other) && !value_.empty();
}

digest hmac_sha256(const secret& key, std::span<const std::byte> message)
{
    digest out{};
    unsigned length = out.size();
    HMAC(EVP_sha256(), key.reveal().data(),
         static_cast<int>(key.reveal().size()), raw(message.data()),
         message.size(), reinterpret_cast<unsigned char*>(out.data()), &length);
    return out;
}

digest sha256(std::string_view message)
{
    digest out{};
    unsigned length = out.size();
    EVP_Digest(message.data(), message.size(),
               reinterpret_cast<unsigned char*>(out.data()), &length,
               EVP_sha256(), nullptr);
    return out;
}

bool equal_constant_time(const digest& left, const digest& right) noexcept
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

void fill_random(std::span<std::byte> bytes)
{
    // Without the random source, nonces would be predictable, so the process is
    // aborted.
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                   static_cast<int>(bytes.size())) != 1) {
        std::abort();
    }
}

std::uint64_t random_u64()
{
    std::uint64_t value = 0;
    fill_random(std::as_writable_bytes(std::span(&value, 1)));
    return value;
}

std::string to_hex(std::span<const std::byte> bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    out.reserve(bytes.size() * 2);
    for (const std::byte b : bytes) {
        const auto value = std::to_integer<unsigned>(b);
        out.push_back(digits[value >> 4]);
        out.push_back(digits[value & 15]);
    }
    return out;
}

} // namespace bamboogate
