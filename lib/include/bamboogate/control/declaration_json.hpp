#ifndef BAMBOOGATE_CONTROL_DECLARATION_JSON_HPP
#define BAMBOOGATE_CONTROL_DECLARATION_JSON_HPP

#include <bamboogate/control/declarations.hpp>
#include <bamboogate/core/json.hpp>
#include <bamboogate/core/result.hpp>

#include <string>
#include <vector>

namespace bamboogate::control {

/// A validation error in declarations.
struct declaration_fault
{
    std::string file;     ///< empty if not read from a file
    std::size_t line = 0; ///< 0 if unknown
    std::string path;     ///< JSON pointer, such as `/presets/0/ranks/1/name`
    std::string value;    ///< the rejected value, shortened
    std::string allowed;  ///< description of the allowed values

    bool operator==(const declaration_fault&) const = default;

    /// @brief `file:line: path: found VALUE, allowed: ALLOWED`.
    [[nodiscard]] std::string text() const;
};

/// Treatment of fields that are unknown to this version.
enum class unknown_fields : std::uint8_t
{
    refuse,
    ignore, ///< for messages, whose sender may run a newer version
};

/// @brief Converts to JSON; durations become `*_ms` integers.
[[nodiscard]] json to_document(const declarations& declared);
[[nodiscard]] json to_document(const configuration& applied);

/// @brief Adds the declarations of a JSON object to `out`.
/// @param faults receives every fault; faulty fields keep their default
void read_declarations(const json& document, unknown_fields policy,
                       declarations& out,
                       std::vector<declaration_fault>& faults);

/// @brief Checks the declarations for consistency: unknown rank, class, model
///     or service, duplicate ids, sums of shares above 1.
/// @return every fault found, with paths into `to_document(declared)`
[[nodiscard]] std::vector<declaration_fault>
check_references(const declarations& declared);

/// @brief Decodes declarations from a message.
/// @return `malformed_input` naming the first fault
[[nodiscard]] result<declarations> declarations_from(const json& document);
[[nodiscard]] result<configuration> configuration_from(const json& document);

/// @brief Encodes a configuration as one binary value, so that a document sent
///     to every gate is encoded only once.
[[nodiscard]] json pack_configuration(const configuration& applied);
[[nodiscard]] result<configuration> unpack_configuration(const json& packed);

} // namespace bamboogate::control

#endif
