#include <bamboogate/core/json.hpp>
#include <bamboogate/gate/api_error.hpp>
#include <bamboogate/gate/completion_sinks.hpp>

#include <fmt/format.h>

#include <iterator>

namespace bamboogate::gate {

namespace {

std::string quoted_json(std::string_view text)
{
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

json finish_document(const std::string& token, const model_id& model,
                     std::string_view text, const streaming::finish_info& info)
{
    return {{"id", token},
            {"object", "text_completion"},
            {"model", model},
            {"choices",
             {{{"index", 0},
               {"text", text},
               {"finish_reason", info.finish_reason}}}},
            {"usage", {{"completion_tokens", info.count}}},
            {"integrity",
             {{"tokens", info.count},
              {"xxh64", fmt::format("{:016x}", info.checksum)},
              {"attempts", info.attempts}}}};
}

} // namespace

sse_sink::sse_sink(std::shared_ptr<net::responder> out, options settings)
    : out_(std::move(out)), settings_(std::move(settings)),
      event_prefix_(fmt::format(
          R"(data: {{"id":{},"object":"text_completion","model":{},)"
          R"("choices":[{{"index":0,"text":)",
          quoted_json(settings_.caller_token),
          quoted_json(settings_.model.value()))),
      last_write_(monotonic_clock::now())
{}

void sse_sink::send_headers()
{
    if (begun_) {
        return;
    }
    begun_ = true;
    net::http_headers headers{{"content-type", "text/event-stream"},
                              {"cache-control", "no-store"},
                              {"x-request-id", settings_.caller_token}};
    for (const auto& [name, value] : settings_.extra_headers) {
        headers.add(name, value);
    }
    out_->begin_stream(200, headers);
    out_->write(": accepted\n\n");
}

void sse_sink::send_keepalive(time_point now, duration idle_limit)
{
    if (!begun_ || now - last_write_ < idle_limit) {
        return;
    }
    last_write_ = now;
    out_->write(": ping\n\n");
}

void sse_sink::set_epoch(std::uint64_t number)
{
    send_headers();
    out_->write(fmt::format(": epoch {}\n\n", number));
}

void sse_sink::token(std::uint64_t index, std::string_view text)
{
    send_headers();
    last_write_ = monotonic_clock::now();
    scratch_.clear();
    fmt::format_to(std::back_inserter(scratch_),
                   "id: {}\n{}{},\"finish_reason\":null}}]}}\n\n", index,
                   event_prefix_, quoted_json(text));
    out_->write(scratch_);
}

void sse_sink::finished(const streaming::finish_info& info)
{
    send_headers();
    const json document =
        finish_document(settings_.caller_token, settings_.model, "", info);
    out_->write(fmt::format("data: {}\n\ndata: [DONE]\n\n", document.dump()));
    out_->finish();
}

void sse_sink::failed(const error& reason)
{
    if (!begun_) {
        respond_error(*out_, reason);
        return;
    }
    if (reason.code == errc::superseded) {
        // Another gate may be sending the same answer, so nothing more may
        // follow here, not even an error event.
        out_->abort();
        return;
    }
    out_->write(fmt::format("event: error\ndata: {}\n\n", error_body(reason)));
    out_->finish();
}

bool sse_sink::ready() const
{
    return out_->buffered() < settings_.max_buffered_bytes;
}

json_response_sink::json_response_sink(std::shared_ptr<net::responder> out,
                                       std::string caller_token, model_id model)
    : out_(std::move(out)), caller_token_(std::move(caller_token)),
      model_(std::move(model))
{}

void json_response_sink::token(std::uint64_t, std::string_view text)
{
    text_.append(text);
}

void json_response_sink::finished(const streaming::finish_info& info)
{
    out_->respond(
        200,
        {{"content-type", "application/json"}, {"x-request-id", caller_token_}},
        finish_document(caller_token_, model_, text_, info).dump());
}

void json_response_sink::failed(const error& reason)
{
    respond_error(*out_, reason);
}

} // namespace bamboogate::gate
