// How a server keeps the requests and connections of its clients within their
// limits; what is decided lies in request_memory and connection_choice.
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <limits>

#include "http1_connection.hpp"

namespace bamboogate::net {

namespace {

/// How often requests that wait for room are reviewed, beside each release.
constexpr duration review_interval = std::chrono::milliseconds(50);
/// Memory of one request beside its bytes: parser, exchange, upstream
/// connection and timers.
constexpr std::size_t request_overhead_bytes = 8u << 10;

} // namespace

std::string_view name_of(client_limit_action action)
{
    switch (action) {
    case client_limit_action::request_refused:
        return "request_refused";
    case client_limit_action::sender_closed:
        return "sender_closed";
    case client_limit_action::input_dropped:
        return "input_dropped";
    case client_limit_action::connection_closed:
        return "connection_closed";
    case client_limit_action::connection_refused:
        return "connection_refused";
    }
    return "";
}

connection_state http1_connection::state() const
{
    switch (phase_) {
    case phase::idle:
        return {connection_use::idle, idle_since_};
    case phase::lingering:
        return {connection_use::closing, lingers_since_};
    case phase::head:
    case phase::body:
        return {connection_use::sending, request_since_};
    case phase::handling:
    case phase::closed:
        break;
    }
    return {connection_use::serving, request_since_};
}

bool http1_connection::admit()
{
    if (!server_.memory) {
        return true;
    }
    const std::size_t needed =
        request_overhead_bytes + pending_.capacity() + reader_.needed_bytes();
    switch (server_.memory->request(number_, needed, server_.loop.now())) {
    case request_memory::admission::admitted:
        reader_.reserve_body();
        return true;
    case request_memory::admission::waiting:
        waits_for_room_ = true;
        stream_->pause_input(true);
        // A slow sender may be displaced at once.
        server_.review_timer->start_once(duration::zero());
        return false;
    case request_memory::admission::refused:
        break;
    }
    refuse_without_room();
    return false;
}

void http1_connection::on_admitted()
{
    if (!waits_for_room_) {
        return;
    }
    waits_for_room_ = false;
    reader_.reserve_body();
    stream_->pause_input(false);
    proceed();
}

void http1_connection::refuse_without_room()
{
    if (phase_ != phase::head && phase_ != phase::body) {
        return;
    }
    server_.note(client_limit_action::request_refused);
    refuse(503, server_.settings.refusal_fields);
}

void http1_connection::refuse_slow_sender()
{
    if (phase_ != phase::head && phase_ != phase::body) {
        return;
    }
    server_.note(client_limit_action::sender_closed);
    refuse(408, {});
}

void http1_connection::close_for_another()
{
    const auto self = shared_from_this();
    server_.note(client_limit_action::connection_closed);
    close();
}

void http1_connection::hold_next_requests(std::string_view bytes)
{
    if (drops_next_requests_) {
        return;
    }
    const std::size_t before = pending_.capacity();
    pending_.append(bytes);
    if (!server_.memory ||
        server_.memory->try_add(number_, pending_.capacity() - before)) {
        return;
    }
    // The connection closes after the response in progress; what follows was
    // not run.
    drops_next_requests_ = true;
    keep_alive_ = false;
    std::string().swap(pending_);
    server_.note(client_limit_action::input_dropped);
}

void http1_connection::release_memory()
{
    if (server_.memory) {
        server_.release_memory(number_);
    }
}

bool http1_server::impl::close_one_connection()
{
    std::vector<connection_state> states;
    states.reserve(connections.size());
    for (const auto& each : connections) {
        states.push_back(each->state());
    }
    const auto chosen = connection_to_close(states, loop.now());
    if (chosen) {
        connections[*chosen]->close_for_another();
    }
    return chosen.has_value();
}

void http1_server::impl::refuse_connection(int descriptor)
{
    header_list headers = settings.refusal_fields;
    headers.add("Content-Length", "0");
    headers.add("Connection", "close");
    const std::string text =
        serialize_response_head(503, reason_of(503), headers);
    ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(descriptor, SHUT_WR);
    ::close(descriptor);
    note(client_limit_action::connection_refused);
}

void http1_server::impl::limit_memory()
{
    if (settings.memory.total_bytes ==
        std::numeric_limits<std::size_t>::max()) {
        return;
    }
    memory = std::make_unique<request_memory>(settings.memory);
    review_timer = std::make_unique<timer>(loop, [this] { review_memory(); });
}

void http1_server::impl::release_memory(std::uint64_t connection)
{
    memory->release(connection);
    if (memory->has_waiting()) {
        review_timer->start_once(duration::zero());
    }
}

void http1_server::impl::review_memory()
{
    const auto decided = memory->review(loop.now());
    const auto held = connections;
    const auto apply = [&](const std::vector<request_memory::client_id>& ids,
                           void (http1_connection::*action)()) {
        for (const auto id : ids) {
            const auto found =
                std::find_if(held.begin(), held.end(), [&](const auto& each) {
                    return each->number() == id;
                });
            if (found != held.end()) {
                ((**found).*action)();
            }
        }
    };
    apply(decided.refused, &http1_connection::refuse_without_room);
    apply(decided.displaced, &http1_connection::refuse_slow_sender);
    apply(decided.admitted, &http1_connection::on_admitted);
    if (memory->has_waiting() && !review_timer->active()) {
        review_timer->start_once(review_interval);
    }
}

void http1_server::impl::note(client_limit_action action) const
{
    if (settings.on_client_limit) {
        settings.on_client_limit(action);
    }
}

std::size_t http1_server::request_bytes() const
{
    return impl_->memory ? impl_->memory->used_bytes() : 0;
}

} // namespace bamboogate::net
