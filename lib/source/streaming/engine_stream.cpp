#include <bamboogate/core/json.hpp>
#include <bamboogate/streaming/engine_stream.hpp>

#include <fmt/format.h>

namespace bamboogate::streaming {

namespace {

constexpr std::size_t max_error_body_bytes = 4096;
constexpr unsigned status_ok = 200;

std::string body_of(const engine_stream::attempt_request& request)
{
    json body = {{"request_id", request.id},
                 {"attempt", request.attempt},
                 {"model", request.request.model},
                 {"prompt", request.request.prompt},
                 {"max_tokens", request.request.max_tokens},
                 {"priority", request.request.priority},
                 {"stream", true}};
    auto& resume = body["resume_tokens"] = json::array();
    for (const auto& token : request.resume_tokens) {
        resume.push_back(token);
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

error error_from_response(unsigned status, const std::string& body)
{
    std::string detail = fmt::format("engine answered with status {}", status);
    if (const auto parsed = parse_json(body);
        parsed && parsed.value().is_object()) {
        const auto field = parsed.value().find("error");
        if (field != parsed.value().end()) {
            detail += ": " + field->dump();
        }
    }
    return {errc::upstream_failed, std::move(detail)};
}

} // namespace

std::string_view name_of(attempt_outcome outcome) noexcept
{
    switch (outcome) {
    case attempt_outcome::finished:
        return "finished";
    case attempt_outcome::preempted:
        return "preempted";
    case attempt_outcome::cancelled:
        return "cancelled";
    case attempt_outcome::refused:
        return "refused";
    case attempt_outcome::reset:
        return "reset";
    case attempt_outcome::silent:
        return "silent";
    case attempt_outcome::malformed:
        return "malformed";
    }
    return "unknown";
}

engine_stream::engine_stream(net::http_client& client,
                             const attempt_request& request, callbacks handlers)
    : handlers_(std::move(handlers)),
      parser_({}, [this](std::string_view data) { handle_event(data); })
{
    transfer_ = client.start(
        {.method = "POST",
         .url = "http://" + request.address + "/v1/completions",
         .headers = {{"content-type", "application/json"},
                     {"accept", "text/event-stream"}},
         .body = body_of(request),
         // Token events don't name their request, so a second copy of an
         // earlier answer on a reused connection could not be told apart.
         .fresh_connection = true},
        {.on_headers =
             [this](const net::http_client::response& head) {
                 handle_headers(head);
             },
         .on_data = [this](std::string_view bytes) { handle_data(bytes); },
         .on_done =
             [this](net::http_client::outcome_type result) {
                 handle_done(result);
             }});
}

void engine_stream::disable_callbacks()
{
    ended_ = true;
    // Input that still arrives would only be discarded.
    transfer_->pause();
}

void engine_stream::handle_headers(const net::http_client::response& head)
{
    status_ = head.status;
    if (!ended_ && status_ == status_ok) {
        handlers_.on_headers();
    }
}

void engine_stream::handle_data(std::string_view bytes)
{
    if (ended_) {
        return;
    }
    if (status_ != status_ok) {
        const auto remaining = max_error_body_bytes - error_body_.size();
        error_body_.append(bytes.substr(0, remaining));
        if (bytes.size() > remaining) {
            // An engine in trouble may send a body without end.
            report_end(attempt_outcome::refused,
                       error_from_response(status_, error_body_));
        }
        return;
    }
    if (auto fed = parser_.feed(bytes); !fed) {
        report_end(attempt_outcome::malformed, std::move(fed).error());
    }
}

void engine_stream::handle_event(std::string_view data)
{
    if (ended_ || data == "[DONE]") {
        return;
    }
    auto parsed = parse_json(data);
    if (!parsed) {
        report_end(attempt_outcome::malformed, std::move(parsed).error());
        return;
    }
    json& event = parsed.value();
    const auto malformed = [this](std::string_view text) {
        report_end(attempt_outcome::malformed,
                   {errc::malformed_input, std::string(text)});
    };
    const auto is_number = [&event](const char* key) {
        const auto found = event.find(key);
        return found != event.end() && found->is_number_unsigned();
    };
    if (!event.is_object()) {
        malformed("event is not an object");
        return;
    }
    if (const auto reason = event.find("finish_reason");
        reason != event.end()) {
        if (!reason->is_string() || reason->get_ref<std::string&>().empty() ||
            !is_number("count")) {
            malformed("finish event without reason or count");
            return;
        }
        ended_ = true;
        handlers_.on_finish(reason->get<std::string>(),
                            event["count"].get<std::uint64_t>());
        return;
    }
    const auto token = event.find("token");
    if (token == event.end() || !token->is_string() || !is_number("index") ||
        !is_number("attempt")) {
        malformed("token event without token, index or attempt");
        return;
    }
    handlers_.on_token(event["attempt"].get<std::uint64_t>(),
                       event["index"].get<std::uint64_t>(),
                       std::move(token->get_ref<std::string&>()));
}

void engine_stream::handle_done(const net::http_client::outcome_type& result)
{
    if (ended_) {
        return;
    }
    if (!result) {
        report_end(attempt_outcome::reset, result.error().reason);
        return;
    }
    if (status_ != status_ok) {
        report_end(attempt_outcome::refused,
                   error_from_response(status_, error_body_));
        return;
    }
    report_end(attempt_outcome::reset,
               {errc::connection_lost, "stream ended without a finish event"});
}

void engine_stream::report_end(attempt_outcome outcome, error reason)
{
    if (std::exchange(ended_, true)) {
        return;
    }
    handlers_.on_end({outcome, std::move(reason)});
}

void cancel_attempt(net::http_client& client, const std::string& address,
                    const request_id& id, std::uint64_t attempt)
{
    client.start_detached(
        {.method = "DELETE",
         .url = fmt::format("http://{}/v1/completions/{}?attempt={}", address,
                            id.value(), attempt),
         .total_timeout = std::chrono::seconds(1)},
        {});
}

} // namespace bamboogate::streaming
