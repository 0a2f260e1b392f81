#ifndef BAMBOOGATE_TESTS_FAKES_TOKEN_SOURCE_HPP
#define BAMBOOGATE_TESTS_FAKES_TOKEN_SOURCE_HPP

#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::fakes {

enum class token_mode : std::uint8_t
{
    prefix,  ///< a token depends on the prompt and the tokens before it
    sampled, ///< and on a seed that changes with every attempt
};

/// The deterministic token generator of the fake engine. Tests compute the
/// expected answer with the same code.
class token_source
{
public:
    explicit token_source(std::string_view prompt)
        : state_(XXH3_64bits(prompt.data(), prompt.size()))
    {}

    /// @brief Advances past an existing token.
    void accept(std::string_view token)
    {
        state_ = XXH3_64bits_withSeed(token.data(), token.size(), state_);
    }

    /// @brief The next token in mode `prefix`; does not advance.
    [[nodiscard]] std::string next() const
    {
        return fmt::format("t{:x} ", state_ & 0xfffffu);
    }

    /// @brief The next token in mode `sampled`; contains its seed.
    [[nodiscard]] std::string next(std::uint64_t seed) const
    {
        const std::uint64_t mixed =
            XXH3_64bits_withSeed(&seed, sizeof seed, state_);
        return fmt::format("s{:x}.{:x} ", seed, mixed & 0xfffffu);
    }

    /// @brief Checks that a token of mode `sampled` continues the prefix.
    [[nodiscard]] bool continues(std::string_view token) const
    {
        if (!token.starts_with('s')) {
            return false;
        }
        std::uint64_t seed = 0;
        const auto [end, problem] = std::from_chars(
            token.data() + 1, token.data() + token.size(), seed, 16);
        return problem == std::errc{} && next(seed) == token;
    }

private:
    std::uint64_t state_;
};

/// @brief Length of the complete answer before `max_tokens` is applied: the
///     number after `tokens=` in the prompt, or 16 to 143 by its hash.
[[nodiscard]] inline std::size_t natural_length(std::string_view prompt)
{
    constexpr std::string_view key = "tokens=";
    if (const auto found = prompt.find(key); found != prompt.npos) {
        std::size_t length = 0;
        const auto digits = prompt.substr(found + key.size());
        const auto [end, problem] = std::from_chars(
            digits.data(), digits.data() + digits.size(), length);
        if (problem == std::errc{}) {
            return length;
        }
    }
    return 16 + XXH3_64bits(prompt.data(), prompt.size()) % 128;
}

/// @param max_tokens 0 means unlimited
[[nodiscard]] inline std::size_t answer_length(std::string_view prompt,
                                               std::size_t max_tokens)
{
    const std::size_t length = natural_length(prompt);
    return max_tokens == 0 || length < max_tokens ? length : max_tokens;
}

/// @brief The complete answer in mode `prefix`.
[[nodiscard]] inline std::vector<std::string>
expected_answer(std::string_view prompt, std::size_t max_tokens)
{
    token_source source(prompt);
    std::vector<std::string> tokens(answer_length(prompt, max_tokens));
    for (auto& token : tokens) {
        token = source.next();
        source.accept(token);
    }
    return tokens;
}

/// @brief Checks each token and the length of an answer of either mode.
[[nodiscard]] inline bool is_valid_answer(std::string_view prompt,
                                          std::size_t max_tokens,
                                          std::span<const std::string> answer,
                                          token_mode mode)
{
    if (answer.size() != answer_length(prompt, max_tokens)) {
        return false;
    }
    token_source source(prompt);
    for (const auto& token : answer) {
        const bool valid = mode == token_mode::prefix ? token == source.next()
                                                      : source.continues(token);
        if (!valid) {
            return false;
        }
        source.accept(token);
    }
    return true;
}

/// @brief Estimated size of a text in tokens, for the duration of prefill.
[[nodiscard]] inline std::size_t estimated_tokens(std::string_view text)
{
    constexpr std::size_t bytes_per_token = 4;
    return text.size() / bytes_per_token + 1;
}

} // namespace bamboogate::fakes

#endif
