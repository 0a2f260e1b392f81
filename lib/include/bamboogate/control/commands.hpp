#ifndef BAMBOOGATE_CONTROL_COMMANDS_HPP
#define BAMBOOGATE_CONTROL_COMMANDS_HPP

#include <bamboogate/control/messages.hpp>
#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/json.hpp>
#include <bamboogate/core/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace bamboogate::control {

/// Origin of a change: the operation, its operator and the revision that the
/// request is based on.
struct change_origin
{
    operation_id operation;
    std::string operator_id;
    bamboogate::revision based_on;
    /// The leader's wall clock. Recorded in the history only; affects no
    /// decision.
    std::uint64_t wall_time_ms = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(change_origin, operation, operator_id,
                                   based_on, wall_time_ms)
};

/// Replaces the declarations.
struct apply_declarations
{
    static constexpr std::string_view type = "apply_declarations";
    change_origin origin;
    json declarations;
    /// Preset to put in force; empty keeps the current one. Without a current
    /// preset the first declared one is put in force.
    preset_id preset;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(apply_declarations, origin, declarations,
                                   preset)
};

/// Puts a declared preset in force.
struct use_preset
{
    static constexpr std::string_view type = "use_preset";
    change_origin origin;
    preset_id preset;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(use_preset, origin, preset)
};

/// Opens an order to an upstream, which must have no open order. The fencing
/// token is the log index.
struct record_order
{
    static constexpr std::string_view type = "record_order";
    change_origin origin;
    upstream_id upstream;
    std::string address; ///< `ip:port` of the upstream
    json order;
    std::uint64_t deadline_ms = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(record_order, origin, upstream, address,
                                   order, deadline_ms)
};

/// Records the outcome of an order and allows the next order to its upstream.
struct finish_order
{
    static constexpr std::string_view type = "finish_order";
    upstream_id upstream;
    std::uint64_t token = 0;
    std::string outcome; ///< `accepted`, `refused`, `not_sent` or `unknown`
    unsigned status = 0; ///< HTTP status of the upstream, or 0
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(finish_order, upstream, token, outcome,
                                   status)
};

/// Marks the open calls of a gate's incarnations up to `last` as unknown.
struct end_incarnation
{
    static constexpr std::string_view type = "end_incarnation";
    node_id gate;
    bamboogate::incarnation last;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(end_incarnation, gate, last)
};

/// Advances the logical clock used for retention. The leader proposes the time
/// measured by its monotonic clock since its previous such command, so that a
/// wall clock jump cannot expire entries early. Time without a leader is not
/// counted.
struct advance_time
{
    static constexpr std::string_view type = "advance_time";
    std::uint64_t elapsed_ms = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(advance_time, elapsed_ms)
};

using command =
    std::variant<apply_declarations, use_preset, record_order, finish_order,
                 call_begin, call_complete, call_unknown, call_abort,
                 end_incarnation, advance_time>;

/// Version of the command encoding. A replica answers `malformed_input` to any
/// other version and changes nothing, so all replicas must support a new
/// version before the first command of that version is proposed.
constexpr unsigned command_version = 1;

/// @brief CBOR form `[version, type, body]`.
[[nodiscard]] std::string encode_command(const command& value);

/// @return `malformed_input` for an unknown version or type
[[nodiscard]] result<command> decode_command(std::string_view bytes);

/// Response of the state machine to a command.
struct command_response
{
    bool ok = true;
    errc code = errc::internal; ///< set unless ok
    std::string detail;
    json body; ///< depends on the command; also set for a conflict

    [[nodiscard]] static command_response failure(errc code, std::string detail,
                                                  json body = nullptr);

    /// @brief The error of a failed response. @pre not `ok`
    [[nodiscard]] error to_error() const { return {code, detail}; }
};

[[nodiscard]] std::string encode_response(const command_response& response);
[[nodiscard]] result<command_response> decode_response(std::string_view bytes);

} // namespace bamboogate::control

#endif
