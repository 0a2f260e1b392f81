#ifndef BAMBOOGATE_TESTS_CONTROL_SAMPLES_HPP
#define BAMBOOGATE_TESTS_CONTROL_SAMPLES_HPP

#include <bamboogate/control/commands.hpp>
#include <bamboogate/control/declaration_json.hpp>
#include <bamboogate/control/state_machine.hpp>
#include <bamboogate/core/secret.hpp>

#include <doctest/doctest.h>

#include <string>
#include <utility>

namespace bamboogate::tests {

/// Declarations with presets `ordinary`, `peak` and `maintenance`, the
/// service `booking` and one operator with the key `operator-key`.
inline control::declarations sample_declarations()
{
    control::declarations out;
    for (const char* id : {"ordinary", "peak", "maintenance"}) {
        control::preset each;
        each.id = preset_id(id);
        each.ranks = {{.name = "urgent", .priority = 0},
                      {.name = "brief",
                       .priority = 1,
                       .floor_share = 0.1,
                       .preemptible = true}};
        each.class_shares = {{"manifest", 0.6}, {"route", 0.3}};
        out.presets.push_back(each);
    }
    out.service_classes = {{"manifest", "urgent", {model_id("draft")}},
                           {"route", "brief", {model_id("draft")}}};
    out.services = {{.id = service_id("booking"),
                     .idempotent_methods = {"GET"},
                     .answer_retention = std::chrono::minutes(10)}};
    out.client_accounts = {{.id = client_account_id("small"),
                            .key_sha256 = std::string(64, 'a'),
                            .service_classes = {"manifest", "route"},
                            .services = {service_id("booking")}}};
    out.operators = {{"ana", to_hex(sha256("operator-key"))}};
    return out;
}

/// Applies commands in order, like a log.
class log_driver
{
public:
    explicit log_driver(control::state_machine& state) : state_(state) {}

    control::command_response run(const control::command& value)
    {
        auto response = control::decode_response(
            state_.apply({1, ++index}, control::encode_command(value)));
        REQUIRE(response);
        return std::move(response).value();
    }

    static control::change_origin origin(const std::string& operation,
                                         std::uint64_t based_on,
                                         const std::string& operator_id = "ana")
    {
        return {.operation = operation_id(operation),
                .operator_id = operator_id,
                .based_on = {based_on}};
    }

    control::command_response apply(const control::declarations& declared,
                                    const std::string& operation = "first",
                                    std::uint64_t based_on = 0)
    {
        return run(control::apply_declarations{
            .origin = origin(operation, based_on),
            .declarations = control::to_document(declared),
            .preset = {}});
    }

    control::command_response use(const std::string& preset,
                                  const std::string& operation,
                                  std::uint64_t based_on,
                                  const std::string& operator_id = "ana")
    {
        return run(control::use_preset{
            .origin = origin(operation, based_on, operator_id),
            .preset = preset_id(preset)});
    }

    std::uint64_t index = 0;

private:
    control::state_machine& state_;
};

} // namespace bamboogate::tests

#endif
