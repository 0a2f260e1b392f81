#include "backend.hpp"

#include <bamboogate/core/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace bamboogate::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration step_interval = 5ms;
constexpr duration announce_interval = 400ms;
constexpr duration event_interval = 20ms;
constexpr duration prefill_time = 120ms; ///< for a prompt that is not cached
constexpr duration plain_time = 15ms;
constexpr duration copy_interval = 100ms;
constexpr duration copy_lifetime = 4s; ///< `handleTtlS` of the configuration
/// Time for the last bytes of the last run to reach their gate.
constexpr duration exit_delay = 500ms;

std::string header(const net::http1_request& request, std::string_view name)
{
    return std::string(request.headers.find(name).value_or(""));
}

unsigned number(std::string_view text)
{
    unsigned out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace

std::string event_text(std::string_view prompt, unsigned number,
                       std::string_view version)
{
    return fmt::format("id: {}\ndata: {} {} {}\n\n", number, prompt, number,
                       version);
}

std::string_view event_version(std::string_view event)
{
    const auto text = event.substr(0, event.find("\n\n"));
    return text.substr(text.rfind(' ') + 1);
}

std::string version_name(unsigned number)
{
    return fmt::format("v{}", number);
}

std::string plain_answer(std::string_view attempt)
{
    return fmt::format("done {}", attempt);
}

backend::backend(net::event_loop& loop, net::http1_client& client,
                 run_ledger& ledger, statement_checks& statements,
                 options settings)
    : loop_(loop), client_(client), ledger_(ledger), statements_(statements),
      settings_(std::move(settings)), proxy_(loop, {"127.0.0.1", 1}),
      step_timer_(loop, [this] { step(); }),
      announce_timer_(loop, [this] { announce(); }),
      stop_timer_(loop, [this] { stop_listening(); })
{}

void backend::start(bool same_id)
{
    ++starts_;
    if (!same_id || id_.empty()) {
        id_ =
            fmt::format("{}-{}-{}", settings_.service, address().port, starts_);
    }
    started_at_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    sequence_ = 0;
    departed_at_.reset();
    version_ = settings_.version;
    leaving_ = draining_ = false;
    listening_ = true;
    statements_.back_end_started(id_);
    server_ = net::http1_server::start(
                  loop_,
                  {.listen_address = {"127.0.0.1", 0},
                   .limits = {.body_bytes = 2 * upload_bytes}},
                  [this](const net::http1_request& request,
                         const net::http1_responder_ptr& responder) {
                      handle(request, responder);
                  })
                  .value();
    proxy_.change_target(server_->bound_address());
    proxy_.listen();
    step_timer_.start_periodic(step_interval);
    announce_timer_.start_periodic(announce_interval);
    announce();
}

void backend::crash()
{
    ++*generation_;
    step_timer_.stop();
    announce_timer_.stop();
    stop_timer_.stop();
    announcements_.clear();
    runs_.clear();
    long_polls_.clear();
    copies_.clear();
    server_.reset();
    proxy_.change_target({"127.0.0.1", 1});
    proxy_.reset();
    silent = loses_answers = truncates = breaks_heads = fills_streams =
        states_leave = false;
    slowdown = 1;
    refusals_left = 0;
    leaving_ = false;
}

void backend::drain(departure how)
{
    leaving_ = true;
    draining_ = !how.deregisters_first;
    server_->begin_drain();
    if (draining_) {
        announce();
    } else {
        deregister();
    }
    stop_timer_.start_once(how.serving);
}

void backend::stop_listening()
{
    if (draining_) {
        deregister();
    }
    listening_ = false;
    last_run_ = loop_.now();
    proxy_.stop_listening();
    server_->stop_listening();
}

void backend::deregister()
{
    announce_timer_.stop();
    announce_at(0, static_cast<unsigned>(settings_.control_addresses.size()),
                {"/Instances.Deregister/" + id_, sequence_, true});
}

duration backend::scaled(duration time) const
{
    return std::chrono::duration_cast<duration>(time * slowdown);
}

backend* backend::at(std::string_view address) const
{
    const auto found =
        std::find_if(peers_->begin(), peers_->end(), [&](const auto& each) {
            return each->address().text() == address;
        });
    return found == peers_->end() ? nullptr : found->get();
}

void backend::refuse(const net::http1_responder_ptr& responder,
                     const std::string& attempt, unsigned status)
{
    auto fields = response_fields(attempt);
    fields.set("X-Not-Executed", "1");
    responder->respond(status, fields, "");
}

net::header_list backend::response_fields(const std::string& attempt) const
{
    net::header_list fields{{"X-Response-Seal", "seal-" + id_},
                            {"X-Attempt-Id", attempt}};
    if (states_leave) {
        fields.set("Server-Leaving", "1");
    }
    return fields;
}

void backend::handle(const net::http1_request& request,
                     const net::http1_responder_ptr& responder)
{
    if (request.path() == "/kv-events") {
        const std::chrono::milliseconds wait(
            number(header(request, "Wait-Ms")));
        long_polls_.emplace_back(loop_.now() + wait, responder);
        return;
    }
    if (request.path() == "/kv-move") {
        make_copy(request, responder);
        return;
    }
    const auto attempt = header(request, "X-Attempt-Id");
    const auto expected = header(request, "X-Expect-Instance");
    if (!expected.empty() && expected != id_) {
        refuse(responder, attempt, 421);
        return;
    }
    statements_.arrived(attempt, id_, loop_.now());
    if (settings_.on_arrival) {
        settings_.on_arrival(attempt);
    }
    if (refusals_left > 0) {
        --refusals_left;
        statements_.pause_stated(attempt, id_, loop_.now(), stated_pause);
        auto fields = response_fields(attempt);
        fields.set("X-Not-Executed", "1");
        fields.set("Retry-After",
                   fmt::format("{:.3f}", to_seconds(stated_pause)));
        responder->respond(503, fields, "");
        return;
    }
    if (runs_.size() >= std::size_t{2} * settings_.slots) {
        refuse(responder, attempt, 503);
        return;
    }
    if (settings_.streams) {
        start_run(request, responder);
    } else {
        answer_plain(request, responder);
    }
}

void backend::answer_plain(const net::http1_request& request,
                           const net::http1_responder_ptr& responder)
{
    auto each = std::make_shared<run>();
    each->attempt = header(request, "X-Attempt-Id");
    each->responder = responder;
    each->due = loop_.now() + scaled(plain_time);
    ledger_.add(each->attempt);
    // A plain request continues after its caller disconnects.
    runs_.push_back(std::move(each));
}

void backend::start_run(const net::http1_request& request,
                        const net::http1_responder_ptr& responder)
{
    auto each = std::make_shared<run>();
    each->attempt = header(request, "X-Attempt-Id");
    each->prompt = request.body;
    each->next = number(header(request, "Last-Event-Id")) + 1;
    const auto tokens = header(request, "X-Token-Count");
    each->last = number(std::string_view(tokens).substr(tokens.find(',') + 1)) /
                 tokens_per_event;
    each->copy_to = header(request, "X-Kv-Backup");
    each->responder = responder;
    each->due = loop_.now() + scaled(prefill_time);
    if (const auto from = header(request, "Kv-From"); !from.empty()) {
        const auto held = copies_.find(from);
        if (held == copies_.end() ||
            loop_.now() - held->second.written > copy_lifetime) {
            refuse(responder, each->attempt, 503);
            return;
        }
        copies_.erase(held);
        each->due = loop_.now() + scaled(event_interval);
    }
    responder->on_client_disconnect([weak = std::weak_ptr(each)] {
        if (const auto self = weak.lock()) {
            self->disconnected = true;
        }
    });
    runs_.push_back(std::move(each));
}

void backend::make_copy(const net::http1_request& request,
                        const net::http1_responder_ptr& responder)
{
    const auto body = json::parse(request.body);
    const auto attempt = body.at("id").get<std::string>();
    const auto found =
        std::find_if(runs_.begin(), runs_.end(), [&](const auto& each) {
            return each->attempt == attempt;
        });
    backend* target = at(body.at("target").get<std::string>());
    if (found == runs_.end()) {
        responder->respond(404, {}, "{}");
        return;
    }
    if (target == nullptr || !target->running()) {
        responder->respond(503, {}, "{}");
        return;
    }
    const unsigned made = (*found)->next - 1;
    const auto handle = fmt::format("{}-{}", attempt, made);
    target->copies_[fmt::format("{}/{}", address().text(), handle)] = {
        made, loop_.now()};
    responder->respond(200, {},
                       json{{"kvHandle", handle}, {"made", made}}.dump());
}

void backend::step()
{
    const time_point now = loop_.now();
    std::erase_if(long_polls_, [now](const auto& call) {
        if (now < call.first) {
            return false;
        }
        call.second->respond(
            200, {}, R"({"epoch":1,"next":1,"lost":false,"events":[]})");
        return true;
    });
    const auto runs = runs_;
    for (const auto& each : runs) {
        step(*each, now);
    }
    std::erase_if(runs_, [this](const auto& each) {
        runs_left_ += each->disconnected && !listening_ ? 1 : 0;
        return each->disconnected || each->responder->ended();
    });
    if (!runs_.empty()) {
        last_run_ = now;
    }
    if (!listening_ && now - last_run_ > exit_delay) {
        crash();
    }
}

void backend::step(run& each, time_point now)
{
    if (now < each.due || silent || each.disconnected) {
        return;
    }
    const net::header_list fields = response_fields(each.attempt);
    if (!settings_.streams) {
        if (breaks_heads) {
            break_head(each, plain_answer(each.attempt));
        } else if (loses_answers) {
            each.responder->abort();
        } else if (truncates) {
            each.responder->begin_stream(200, "OK", fields);
            each.responder->write(
                std::string_view(plain_answer(each.attempt)).substr(0, 3));
            each.responder->abort();
        } else {
            each.responder->respond(200, fields, plain_answer(each.attempt));
        }
        return;
    }
    if (!each.begun && breaks_heads) {
        ledger_.add(each.attempt);
        break_head(each, event_text(each.prompt, each.next, version_));
        return;
    }
    if (!each.begun) {
        each.begun = true;
        ledger_.add(each.attempt);
        each.responder->begin_stream(200, "OK", fields);
        if (fills_streams) {
            static constexpr std::array<std::string_view, 4> pieces{
                "a\n", "id: 7\n", ":\n\n", "data: x\n\n"};
            each.filling = pieces.at(filled_streams_++ % pieces.size());
        }
    }
    if (!each.filling.empty()) {
        fill(each);
        return;
    }
    if (each.next > each.last) {
        // The caller already had all events and only missed the end of the
        // stream.
        each.responder->finish();
        return;
    }
    const auto text = event_text(each.prompt, each.next, version_);
    if (truncates) {
        each.responder->write(std::string_view(text).substr(0, 5));
        each.responder->abort();
        return;
    }
    each.responder->write(text);
    if (!each.copy_to.empty() && now - each.copied_at > copy_interval) {
        each.copied_at = now;
        if (backend* holder = at(each.copy_to); holder && holder->running()) {
            holder->copies_[fmt::format("{}/{}", each.copy_to, each.attempt)] =
                {each.next, now};
        }
    }
    each.due = now + scaled(event_interval);
    if (each.next++ >= each.last) {
        each.responder->finish();
    }
}

void backend::fill(const run& each)
{
    constexpr std::size_t queued_limit = 64u << 10;
    constexpr int pieces_at_once = 2000;
    for (int i = 0; i < pieces_at_once && !each.disconnected &&
                    each.responder->queued_bytes() < queued_limit;
         ++i) {
        each.responder->write(each.filling);
    }
}

void backend::break_head(const run& each, std::string_view body)
{
    net::header_list fields = response_fields(each.attempt);
    unsigned status = 200;
    switch (broken_heads_++ % 3) {
    case 0:
        status = 600;
        break;
    case 1:
        fields.add("X Odd", "a");
        break;
    default:
        fields.add("Transfer-Encoding", "gzip");
    }
    each.responder->respond(status, fields, body);
}

void backend::announce()
{
    announcements_.clear();
    ++sequence_;
    announce_at(sequence_ % settings_.control_addresses.size(),
                static_cast<unsigned>(settings_.control_addresses.size()),
                {"/Instances.Heartbeat/" + id_, sequence_, draining_});
    ready_sequence_ = draining_ ? ready_sequence_ : sequence_;
}

void backend::repeat_announcement()
{
    if (running()) {
        announce_at(0,
                    static_cast<unsigned>(settings_.control_addresses.size()),
                    {"/Instances.Heartbeat/" + id_, ready_sequence_, false});
    }
}

void backend::announce_at(std::size_t replica, unsigned tries_left,
                          const statement& sent)
{
    const json body{{"service", settings_.service},
                    {"address", address().text()},
                    {"zone", settings_.failure_domain},
                    {"version", version_},
                    {"slots", settings_.slots},
                    {"state", sent.leaves ? "draining" : "ready"},
                    {"coldLeftMs", 0},
                    {"seqNo", sent.sequence},
                    {"born", started_at_}};
    const auto retry = [this, replica, tries_left, sent,
                        generation = generation_,
                        started_generation = *generation_] {
        loop_.post([this, replica, tries_left, sent, generation,
                    started_generation] {
            if (*generation == started_generation && tries_left > 1) {
                announce_at((replica + 1) % settings_.control_addresses.size(),
                            tries_left - 1, sent);
            }
        });
    };
    announcements_.push_back(client_.start(
        settings_.control_addresses[replica],
        {.method = "POST",
         .target = sent.path,
         .headers = {{"Host", "control"}, {"Content-Type", "application/json"}},
         .body = body.dump(),
         .fresh_connection = true},
        {.on_head =
             [this, retry, sent](const net::http1_response_head& head) {
                 if (head.status == 503) {
                     retry();
                 } else if (sent.leaves && !departed_at_) {
                     departed_at_ = loop_.now();
                 }
                 return true;
             },
         .on_body = [](std::string_view) {},
         .on_complete = [] {},
         .on_failure = [retry](const net::http1_failure&) { retry(); }}));
}

} // namespace bamboogate::tests
