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

/// Who asks for a change, and on which state the request is based.
struct change_origin
{
    operation_id operation;
    std::string operator_id;
    bamboogate::revision based_on;
    /// The leader's wall clock, for the history only; decides nothing.
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
    /// Preset to put in force; empty keeps the present one. Without a present
    /// one the first declared preset comes into force.
    preset_id preset;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(apply_declarations, origin, declarations,
                                   preset)
};

/// Puts another declared preset in force.
struct use_preset
{
    static constexpr std::string_view type = "use_preset";
    change_origin origin;
    preset_id preset;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(use_preset, origin, preset)
};

/// Reserves an upstream for one order. The token is the log index.
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

/// Notes how an order ended and frees its upstream.
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

/// The open calls of a gate's incarnations up to `last` become unknown.
struct end_incarnation
{
    static constexpr std::string_view type = "end_incarnation";
    node_id gate;
    bamboogate::incarnation last;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(end_incarnation, gate, last)
};

/// Moves the logical clock of retention. The leader proposes what its
/// monotonic clock measured since its last such command, so that no wall
/// clock that jumps can expire entries early; time without a leader does not
/// count.
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

/// Version of the command encoding. A replica answers `malformed_input` to
/// another version and changes nothing, so all replicas must run a version
/// that knows it before the first such command is proposed.
constexpr unsigned command_version = 1;

/// @brief CBOR form `[version, type, body]`.
[[nodiscard]] std::string encode_command(const command& what);

/// @return `malformed_input` for an unknown version or type
[[nodiscard]] result<command> decode_command(std::string_view bytes);

/// What the state machine answers to a command.
struct command_response
{
    bool ok = true;
    errc code = errc::internal; ///< set unless ok
    std::string detail;
    json body; ///< depends on the command; also set with a conflict

    /// @brief A failed response.
    [[nodiscard]] static command_response failure(errc code, std::string detail,
                                                  json body = nullptr);

    /// @brief The error of a failed response.
    [[nodiscard]] error to_error() const { return {code, detail}; }
};

[[nodiscard]] std::string encode_response(const command_response& response);
[[nodiscard]] result<command_response> decode_response(std::string_view bytes);

} // namespace bamboogate::control

#endif
