#ifndef BAMBOOGATE_CONTROL_DECLARATION_JSON_HPP
#define BAMBOOGATE_CONTROL_DECLARATION_JSON_HPP

#include <bamboogate/control/declarations.hpp>
#include <bamboogate/core/json.hpp>
#include <bamboogate/core/result.hpp>

#include <string>
#include <vector>

namespace bamboogate::control {

/// One thing that is wrong with declarations.
struct declaration_fault
{
    std::string file;     ///< empty outside a folder
    std::size_t line = 0; ///< 0 when not known
    std::string path;     ///< JSON pointer, such as `/presets/0/ranks/1/name`
    std::string value;    ///< what was found, shortened
    std::string allowed;  ///< what would be right

    bool operator==(const declaration_fault&) const = default;

    /// @brief `file:line: path: found VALUE, allowed: ALLOWED`.
    [[nodiscard]] std::string text() const;
};

/// What happens with a field that this version does not know.
enum class unknown_fields : std::uint8_t
{
    refuse,
    ignore, ///< for the wire, where the sender may be of a newer version
};

/// @brief The JSON form; durations become `*_ms` integers.
[[nodiscard]] json to_document(const declarations& declared);
[[nodiscard]] json to_document(const configuration& applied);

/// @brief Adds what a JSON object declares to `out`.
/// @param faults receives every fault; fields with faults keep their default
void read_declarations(const json& document, unknown_fields policy,
                       declarations& out,
                       std::vector<declaration_fault>& faults);

/// @brief Checks the references between the parts: unknown rank, class,
///     model or service, duplicate ids, sums of shares above 1.
/// @return every fault found, with paths into `to_document(declared)`
[[nodiscard]] std::vector<declaration_fault>
check_references(const declarations& declared);

/// @brief The declarations of a wire document.
/// @return `malformed_input` naming the first fault
[[nodiscard]] result<declarations> declarations_from(const json& document);
[[nodiscard]] result<configuration> configuration_from(const json& document);

/// @brief The wire form: one binary value, so that a document which goes to
///     every gate is encoded only once.
[[nodiscard]] json pack_configuration(const configuration& applied);
[[nodiscard]] result<configuration> unpack_configuration(const json& packed);

} // namespace bamboogate::control

#endif
