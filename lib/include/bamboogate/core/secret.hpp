#ifndef BAMBOOGATE_CORE_SECRET_HPP
#define BAMBOOGATE_CORE_SECRET_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace bamboogate {

/// A key. It has no stream or format support, so that it cannot be logged by
/// accident.
class secret
{
public:
    secret() = default;
    explicit secret(std::string value) : value_(std::move(value)) {}

    [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

    /// @brief The key's bytes, for cryptographic use only. Valid for the
    ///     lifetime of the secret.
    [[nodiscard]] std::string_view reveal() const noexcept { return value_; }

    /// @brief Compares in a time that depends on the lengths only.
    /// @return false for an empty secret. Thread safe.
    [[nodiscard]] bool matches(std::string_view candidate) const noexcept;

private:
    std::string value_;
};

using digest = std::array<std::byte, 32>;

/// @brief HMAC-SHA256 of a message. Thread safe.
[[nodiscard]] digest hmac_sha256(const secret& key,
                                 std::span<const std::byte> message);

/// @brief SHA-256 of a message. Thread safe.
[[nodiscard]] digest sha256(std::string_view message);

/// @brief Compares two digests in constant time.
[[nodiscard]] bool equal_constant_time(const digest& left,
                                       const digest& right) noexcept;

/// @brief Fills the span from the cryptographic random source; aborts the
///     process if that fails. Thread safe.
void fill_random(std::span<std::byte> bytes);

/// @brief A random number from the cryptographic random source.
[[nodiscard]] std::uint64_t random_u64();

/// @brief Lower-case hexadecimal form of bytes.
[[nodiscard]] std::string to_hex(std::span<const std::byte> bytes);

} // namespace bamboogate

#endif
