#include <bamboogate/control/declaration_diff.hpp>
#include <bamboogate/control/declaration_json.hpp>
#include <bamboogate/control/state_machine.hpp>
#include <bamboogate/core/secret.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstring>

namespace bamboogate::control {

namespace {

constexpr std::size_t summary_lines = 12;
constexpr std::size_t ended_orders_kept = 256;
// A leader proposes a step every few seconds; a longer one is a fault of its
// clock and must not expire the journal.
constexpr std::uint64_t longest_step_ms = 60'000;

/// Digest of what an operator asked for. The wall time differs in a resend.
template <typename Change>
std::string request_digest(Change change)
{
    change.origin.wall_time_ms = 0;
    const digest whole =
        sha256(std::string(Change::type) + encode_cbor(json(change)));
    return {reinterpret_cast<const char*>(whole.data()), 16};
}

const preset* find_preset(const declarations& declared, const preset_id& id)
{
    const auto found =
        std::find_if(declared.presets.begin(), declared.presets.end(),
                     [&id](const preset& each) { return each.id == id; });
    return found == declared.presets.end() ? nullptr : &*found;
}

const plain_service* find_service(const declarations& declared,
                                  const service_id& id)
{
    const auto found = std::find_if(
        declared.services.begin(), declared.services.end(),
        [&id](const plain_service& each) { return each.id == id; });
    return found == declared.services.end() ? nullptr : &*found;
}

command_response from_result(const result<void>& outcome)
{
    if (!outcome) {
        return command_response::failure(outcome.error().code,
                                         outcome.error().detail);
    }
    return {};
}

std::vector<std::string> shorten(std::vector<std::string> lines)
{
    if (lines.size() > summary_lines) {
        const std::size_t more = lines.size() - summary_lines;
        lines.resize(summary_lines);
        lines.push_back(fmt::format("and {} more", more));
    }
    return lines;
}

} // namespace

std::string state_machine::apply(const consensus::log_position& position,
                                 std::string_view bytes)
{
    const auto decoded = decode_command(bytes);
    if (!decoded) {
        return encode_response(command_response::failure(
            decoded.error().code, decoded.error().detail));
    }
    return encode_response(std::visit(
        [&](const auto& what) {
            if constexpr (requires { what.origin; }) {
                return run_once(position, what);
            } else {
                return run(position, what);
            }
        },
        decoded.value()));
}

template <typename Change>
command_response state_machine::run_once(const position_type& position,
                                         const Change& what)
{
    if (what.origin.operation.empty()) {
        return command_response::failure(errc::invalid_argument,
                                         "operation id is missing");
    }
    const std::string asked = request_digest(what);
    if (const auto* first = operations_.find(what.origin.operation)) {
        if (first->request_digest != asked) {
            return command_response::failure(
                errc::key_reused,
                "this operation id was used for another change");
        }
        auto answer = decode_response(first->answer);
        return answer
                   ? std::move(answer).value()
                   : command_response::failure(errc::internal, "stored answer");
    }
    auto response = run(position, what);
    operations_.insert(what.origin.operation,
                       {.request_digest = asked,
                        .answer = encode_response(response),
                        .accepted = response.ok},
                       configuration_.declared.limits);
    return response;
}

std::optional<command_response>
state_machine::check_revision(const change_origin& origin) const
{
    if (origin.based_on == configuration_.revision) {
        return std::nullopt;
    }
    // The winner is the change that made the revision after the one that the
    // request is based on.
    const auto winner = std::find_if(
        history_.begin(), history_.end(), [&](const history_entry& each) {
            return each.revision.value == origin.based_on.value + 1 &&
                   (each.kind == apply_declarations::type ||
                    each.kind == use_preset::type);
        });
    json body = {{"revision", configuration_.revision}, {"winner", nullptr}};
    std::string detail =
        fmt::format("based on revision {}, the newest is {}",
                    origin.based_on.value, configuration_.revision.value);
    if (winner != history_.end()) {
        body["winner"] = *winner;
        detail += fmt::format("; revision {} is operation {} of operator {}",
                              winner->revision.value, winner->operation.value(),
                              winner->operator_id);
    }
    return command_response::failure(errc::conflict, std::move(detail),
                                     std::move(body));
}

command_response state_machine::accept(const change_origin& origin,
                                       std::string_view kind,
                                       std::vector<std::string> summary)
{
    ++configuration_.revision.value;
    summary = shorten(std::move(summary));
    add_history({.revision = configuration_.revision,
                 .kind = std::string(kind),
                 .operation = origin.operation,
                 .operator_id = origin.operator_id,
                 .based_on = origin.based_on,
                 .wall_time_ms = origin.wall_time_ms,
                 .summary = summary});
    notify();
    return {.ok = true,
            .code = errc::internal,
            .detail = {},
            .body = {{"revision", configuration_.revision},
                     {"preset", configuration_.preset_in_force},
                     {"difference", std::move(summary)}}};
}

void state_machine::add_history(history_entry entry)
{
    history_.push_back(std::move(entry));
    while (history_.size() > configuration_.declared.limits.history) {
        history_.pop_front();
    }
}

command_response state_machine::run(const position_type& /*position*/,
                                    const apply_declarations& what)
{
    if (auto refused = check_revision(what.origin)) {
        return std::move(*refused);
    }
    auto declared = declarations_from(what.declarations);
    if (!declared) {
        return command_response::failure(declared.error().code,
                                         declared.error().detail);
    }
    auto& next = declared.value();
    if (next.presets.empty()) {
        return command_response::failure(errc::invalid_argument,
                                         "no preset is declared");
    }
    preset_id in_force = configuration_.preset_in_force;
    if (!what.preset.empty()) {
        in_force = what.preset;
    } else if (in_force.empty()) {
        in_force = next.presets.front().id;
    }
    if (find_preset(next, in_force) == nullptr) {
        return command_response::failure(
            errc::invalid_argument,
            fmt::format("preset {} would be in force and is not declared",
                        in_force.value()));
    }
    auto summary = difference(configuration_.declared, next);
    if (in_force != configuration_.preset_in_force) {
        summary.insert(summary.begin(),
                       fmt::format("preset {} in force", in_force.value()));
    }
    configuration_.declared = std::move(next);
    configuration_.preset_in_force = in_force;
    return accept(what.origin, what.type, std::move(summary));
}

command_response state_machine::run(const position_type& /*position*/,
                                    const use_preset& what)
{
    if (auto refused = check_revision(what.origin)) {
        return std::move(*refused);
    }
    if (find_preset(configuration_.declared, what.preset) == nullptr) {
        return command_response::failure(
            errc::not_found,
            fmt::format("preset {} is not declared", what.preset.value()));
    }
    const auto before = configuration_.preset_in_force;
    configuration_.preset_in_force = what.preset;
    return accept(
        what.origin, what.type,
        {fmt::format("preset {} -> {}", before.value(), what.preset.value())});
}

command_response state_machine::run(const position_type& position,
                                    const record_order& what)
{
    const auto busy = open_orders_.find(what.upstream);
    if (busy != open_orders_.end()) {
        return command_response::failure(
            errc::in_progress,
            fmt::format("operation {} with token {} has not ended on {}",
                        busy->second.operation.value(), busy->second.token,
                        what.upstream.value()),
            json(busy->second));
    }
    open_order opened{.upstream = what.upstream,
                      .operation = what.origin.operation,
                      .address = what.address,
                      .order = what.order,
                      .deadline_ms = what.deadline_ms,
                      .token = position.index,
                      .term = position.term};
    add_history(
        {.revision = configuration_.revision,
         .kind = std::string(what.type),
         .operation = what.origin.operation,
         .operator_id = what.origin.operator_id,
         .based_on = what.origin.based_on,
         .wall_time_ms = what.origin.wall_time_ms,
         .summary = {fmt::format("order to {} with token {}",
                                 what.upstream.value(), opened.token)}});
    json body = opened;
    open_orders_.emplace(what.upstream, std::move(opened));
    return {.ok = true,
            .code = errc::internal,
            .detail = {},
            .body = std::move(body)};
}

command_response state_machine::run(const position_type& /*position*/,
                                    const finish_order& what)
{
    const auto found = open_orders_.find(what.upstream);
    if (found == open_orders_.end() || found->second.token != what.token) {
        return command_response::failure(errc::not_found,
                                         "no open order with this token");
    }
    ended_orders_.push_back({.upstream = what.upstream,
                             .operation = found->second.operation,
                             .token = what.token,
                             .outcome = what.outcome,
                             .status = what.status});
    open_orders_.erase(found);
    while (ended_orders_.size() > ended_orders_kept) {
        ended_orders_.pop_front();
    }
    return {};
}

command_response state_machine::run(const position_type& /*position*/,
                                    const call_begin& what)
{
    const auto* service = find_service(configuration_.declared, what.service);
    if (service == nullptr) {
        return command_response::failure(
            errc::not_found,
            fmt::format("service {} is not declared", what.service.value()));
    }
    auto decision = journal_.begin(what, service->answer_retention,
                                   configuration_.declared.limits);
    if (!decision) {
        return command_response::failure(decision.error().code,
                                         decision.error().detail);
    }
    return {.ok = true,
            .code = errc::internal,
            .detail = {},
            .body = json(decision.value())};
}

command_response state_machine::run(const position_type& /*position*/,
                                    const call_complete& what)
{
    return from_result(
        journal_.complete(what, time_ms_, configuration_.declared.limits));
}

command_response state_machine::run(const position_type& /*position*/,
                                    const call_unknown& what)
{
    return from_result(journal_.mark_unknown(what.ticket, time_ms_));
}

command_response state_machine::run(const position_type& /*position*/,
                                    const call_abort& what)
{
    return from_result(journal_.abort(what.ticket, time_ms_));
}

command_response state_machine::run(const position_type& /*position*/,
                                    const end_incarnation& what)
{
    const auto marked =
        journal_.end_incarnation(what.gate, what.last, time_ms_);
    return {.ok = true,
            .code = errc::internal,
            .detail = {},
            .body = {{"marked_unknown", marked}}};
}

command_response state_machine::run(const position_type& /*position*/,
                                    const advance_time& what)
{
    time_ms_ += std::min(what.elapsed_ms, longest_step_ms);
    const auto removed = journal_.expire(time_ms_);
    return {.ok = true,
            .code = errc::internal,
            .detail = {},
            .body = {{"expired", removed}}};
}

void state_machine::on_configuration(
    std::function<void(const configuration&)> observer)
{
    observers_.push_back(std::move(observer));
}

void state_machine::notify()
{
    for (const auto& observer : observers_) {
        observer(configuration_);
    }
}

} // namespace bamboogate::control
