#include <bamboogate/control/declaration_diff.hpp>
#include <bamboogate/control/declaration_json.hpp>
#include <bamboogate/control/state_machine.hpp>
#include <bamboogate/core/secret.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstring>

namespace bamboogate::control {

namespace {

// Lines of a change's summary in the history.
constexpr std::size_t summary_lines = 12;
constexpr std::size_t ended_orders_kept = 256;
// A leader proposes a step every few seconds; a longer one indicates a clock
// fault and must not expire the journal.
constexpr std::uint64_t max_step_ms = 60'000;

/// Digest of an operator's request without the wall time, which differs in a
/// retry.
template <typename Change>
std::string request_digest(Change change)
{
    change.origin.wall_time_ms = 0;
    const digest full =
        sha256(std::string(Change::type) + encode_cbor(json(change)));
    return {reinterpret_cast<const char*>(full.data()), 16};
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
        [&](const auto& request) {
            if constexpr (requires { request.origin; }) {
                return run_once(position, request);
            } else {
                return run(position, request);
            }
        },
        decoded.value()));
}

template <typename Change>
command_response state_machine::run_once(const position_type& position,
                                         const Change& request)
{
    if (request.origin.operation.empty()) {
        return command_response::failure(errc::invalid_argument,
                                         "operation id is missing");
    }
    const std::string digest_of_request = request_digest(request);
    if (const auto* first = operations_.find(request.origin.operation)) {
        if (first->request_digest != digest_of_request) {
            return command_response::failure(
                errc::key_reused,
                "this operation id was used for another change");
        }
        auto response = decode_response(first->response);
        return response
                   ? std::move(response).value()
                   : command_response::failure(errc::internal, "stored answer");
    }
    auto response = run(position, request);
    operations_.insert(request.origin.operation,
                       {.request_digest = digest_of_request,
                        .response = encode_response(response),
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
    // The winner is the change that created the revision following the one that
    // the request is based on.
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
                                    const apply_declarations& request)
{
    if (auto refused = check_revision(request.origin)) {
        return std::move(*refused);
    }
    auto declared = declarations_from(request.declarations);
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
    if (!request.preset.empty()) {
        in_force = request.preset;
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
    return accept(request.origin, request.type, std::move(summary));
}

command_response state_machine::run(const position_type& /*position*/,
                                    const use_preset& request)
{
    if (auto refused = check_revision(request.origin)) {
        return std::move(*refused);
    }
    if (find_preset(configuration_.declared, request.preset) == nullptr) {
        return command_response::failure(
            errc::not_found,
            fmt::format("preset {} is not declared", request.preset.value()));
    }
    const auto before = configuration_.preset_in_force;
    configuration_.preset_in_force = request.preset;
    return accept(request.origin, request.type,
                  {fmt::format("preset {} -> {}", before.value(),
                               request.preset.value())});
}

command_response state_machine::run(const position_type& position,
                                    const record_order& request)
{
    const auto busy = open_orders_.find(request.upstream);
    if (busy != open_orders_.end()) {
        return command_response::failure(
            errc::in_progress,
            fmt::format("operation {} with token {} has not ended on {}",
                        busy->second.operation.value(), busy->second.token,
                        request.upstream.value()),
            json(busy->second));
    }
    open_order opened{.upstream = request.upstream,
                      .operation = request.origin.operation,
                      .address = request.address,
                      .order = request.order,
                      .deadline_ms = request.deadline_ms,
                      .token = position.index,
                      .term = position.term};
    add_history(
        {.revision = configuration_.revision,
         .kind = std::string(request.type),
         .operation = request.origin.operation,
         .operator_id = request.origin.operator_id,
         .based_on = request.origin.based_on,
         .wall_time_ms = request.origin.wall_time_ms,
         .summary = {fmt::format("order to {} with token {}",
                                 request.upstream.value(), opened.token)}});
    json body = opened;
    open_orders_.emplace(request.upstream, std::move(opened));
    return {.ok = true,
            .code = errc::internal,
            .detail = {},
            .body = std::move(body)};
}

command_response state_machine::run(const position_type& /*position*/,
                                    const finish_order& request)
{
    const auto found = open_orders_.find(request.upstream);
    if (found == open_orders_.end() || found->second.token != request.token) {
        return command_response::failure(errc::not_found,
                                         "no open order with this token");
    }
    ended_orders_.push_back({.upstream = request.upstream,
                             .operation = found->second.operation,
                             .token = request.token,
                             .outcome = request.outcome,
                             .status = request.status});
    open_orders_.erase(found);
    while (ended_orders_.size() > ended_orders_kept) {
        ended_orders_.pop_front();
    }
    return {};
}

command_response state_machine::run(const position_type& /*position*/,
                                    const call_begin& request)
{
    const auto* service =
        find_service(configuration_.declared, request.service);
    if (service == nullptr) {
        return command_response::failure(
            errc::not_found,
            fmt::format("service {} is not declared", request.service.value()));
    }
    auto decision = journal_.begin(request, service->answer_retention,
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
                                    const call_complete& request)
{
    return from_result(
        journal_.complete(request, time_ms_, configuration_.declared.limits));
}

command_response state_machine::run(const position_type& /*position*/,
                                    const call_unknown& request)
{
    return from_result(journal_.mark_unknown(request.ticket, time_ms_));
}

command_response state_machine::run(const position_type& /*position*/,
                                    const call_abort& request)
{
    return from_result(journal_.abort(request.ticket, time_ms_));
}

command_response state_machine::run(const position_type& /*position*/,
                                    const end_incarnation& request)
{
    const auto marked =
        journal_.end_incarnation(request.gate, request.last, time_ms_);
    return {.ok = true,
            .code = errc::internal,
            .detail = {},
            .body = {{"marked_unknown", marked}}};
}

command_response state_machine::run(const position_type& /*position*/,
                                    const advance_time& request)
{
    time_ms_ += std::min(request.elapsed_ms, max_step_ms);
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
