#ifndef BAMBOOGATE_CORE_JSON_HPP
#define BAMBOOGATE_CORE_JSON_HPP

#include <bamboogate/core/result.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace bamboogate {

using json = nlohmann::json;

/// Limits that are enforced before and during parsing.
struct parse_limits
{
    std::size_t max_bytes = 4u << 20;
    std::size_t max_depth = 32;
};

/// @brief Parses JSON text.
/// @return the document, or `limit_exceeded` or `malformed_input`. The detail
///     of a syntax error contains line and column. Thread safe.
[[nodiscard]] result<json> parse_json(std::string_view text,
                                      const parse_limits& limits = {});

/// @brief Decodes one CBOR item that fills the whole input.
/// @return the item, or `limit_exceeded` or `malformed_input`. Thread safe.
[[nodiscard]] result<json> decode_cbor(std::string_view bytes,
                                       const parse_limits& limits = {});

/// @brief Encodes a document as CBOR. Thread safe.
[[nodiscard]] std::string encode_cbor(const json& document);

/// @brief Converts a document to a typed value.
/// @return the value, or `malformed_input` where a field is missing or has
///     another type. Thread safe.
template <typename T>
[[nodiscard]] result<T> from_document(const json& document)
{
    try {
        return document.get<T>();
    } catch (const json::exception& problem) {
        return fail(errc::malformed_input, problem.what());
    }
}

} // namespace bamboogate

#endif
