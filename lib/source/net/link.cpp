#include <bamboogate/net/link.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace bamboogate::net {

namespace {

// The first byte of a frame is its type.
constexpr char hello_frame = 'H';
constexpr char proof_frame = 'P';
constexpr char heartbeat_frame = 'B';
constexpr char message_frame = 'M';

constexpr std::size_t max_hello_bytes = 1024;
constexpr std::size_t nonce_bytes = 32;
constexpr std::size_t read_chunk_bytes = 64u << 10;

std::string make_hello(const peer_info& self)
{
    std::array<std::byte, nonce_bytes> nonce{};
    fill_random(nonce);
    return encode_cbor({{"node", self.node},
                        {"incarnation", self.incarnation},
                        {"failure_domain", self.failure_domain},
                        {"nonce", to_hex(nonce)}});
}

result<peer_info> read_hello(std::string_view bytes)
{
    if (bytes.size() > max_hello_bytes) {
        return fail(errc::limit_exceeded, "hello frame too large");
    }
    BOOST_OUTCOME_TRY(document, decode_cbor(bytes));
    try {
        peer_info peer;
        document.at("node").get_to(peer.node);
        document.at("incarnation").get_to(peer.incarnation);
        document.at("failure_domain").get_to(peer.failure_domain);
        if (document.at("nonce").get<std::string>().size() != 2 * nonce_bytes) {
            return fail(errc::malformed_input, "nonce has the wrong length");
        }
        return peer;
    } catch (const json::exception& problem) {
        return fail(errc::malformed_input, problem.what());
    }
}

} // namespace

std::string_view name_of(link::close_reason reason) noexcept
{
    switch (reason) {
    case link::close_reason::peer_closed:
        return "peer_closed";
    case link::close_reason::heartbeat_timeout:
        return "heartbeat_timeout";
    case link::close_reason::refused:
        return "refused";
    case link::close_reason::queue_full:
        return "queue_full";
    case link::close_reason::dropped:
        return "dropped";
    case link::close_reason::not_connected:
        return "not_connected";
    }
    return "";
}

link::link(event_loop& loop, const link_hub::options& settings, side own_side,
           int descriptor, loop_priority priority, callbacks handlers)
    : loop_(loop), settings_(settings), side_(own_side),
      descriptor_(descriptor), handlers_(std::move(handlers)),
      own_hello_(make_hello(settings.identity)), last_input_(loop.now()),
      last_output_(loop.now()),
      codec_({.side = own_side == side::dialer ? websocket_codec::role::client
                                               : websocket_codec::role::server,
              .max_message_bytes = settings.max_frame_bytes},
             {.on_output =
                  [this](std::string_view bytes) { output_.append(bytes); },
              .on_open = [this] { send_hello(); },
              .on_message = [this](std::string_view f) { on_frame(f); },
              .on_close = [this] { close(close_reason::peer_closed); }}),
      watcher_(
          loop, descriptor, [this](io_event e) { on_ready(e); }, priority),
      liveness_timer_(
          loop, [this] { check_liveness(); }, loop_priority::control)
{
    codec_.start();
    watcher_.await(io_event::read_write);
    liveness_timer_.start_periodic(settings.heartbeat_interval / 2);
}

link::~link()
{
    *alive_ = false;
    close(close_reason::dropped);
}

bool link::send(std::string_view message)
{
    if (state_ != state::up) {
        return false;
    }
    send_frame(message_frame, message);
    return state_ == state::up;
}

void link::close(close_reason reason)
{
    if (state_ == state::closed) {
        return;
    }
    state_ = state::closed;
    watcher_.await(io_event::none);
    liveness_timer_.stop();
    ::close(descriptor_);
    if (*alive_) {
        handlers_.on_closed(reason);
    }
}

void link::on_ready(io_event events)
{
    const auto alive = alive_;
    if (has(events, io_event::read)) {
        read_input();
    }
    if (*alive && state_ != state::closed) {
        flush_output();
    }
}

void link::read_input()
{
    thread_local std::string buffer(read_chunk_bytes, '\0');
    const auto alive = alive_;
    const auto count = recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count <= 0) {
        close(close_reason::peer_closed);
        return;
    }
    received_ += static_cast<std::uint64_t>(count);
    last_input_ = loop_.now();
    // Handlers run inside receive and may destroy this link.
    const std::string input(buffer.data(), static_cast<std::size_t>(count));
    codec_.receive(input);
    if (!*alive) {
        return;
    }
}

void link::flush_output()
{
    while (output_offset_ < output_.size()) {
        const auto count =
            ::send(descriptor_, output_.data() + output_offset_,
                   output_.size() - output_offset_, MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (count < 0) {
            close(close_reason::peer_closed);
            return;
        }
        output_offset_ += static_cast<std::size_t>(count);
        sent_ += static_cast<std::uint64_t>(count);
    }
    if (output_offset_ == output_.size()) {
        output_.clear();
        output_offset_ = 0;
        watcher_.await(io_event::read);
        return;
    }
    watcher_.await(io_event::read_write);
}

void link::on_frame(std::string_view frame)
{
    if (frame.empty() || state_ == state::closed) {
        return;
    }
    const std::string_view body = frame.substr(1);
    if (frame.front() == hello_frame && state_ == state::handshake) {
        on_hello(body);
        return;
    }
    if (frame.front() == proof_frame && state_ == state::authenticating) {
        on_proof(body);
        return;
    }
    if (state_ != state::up) {
        close(close_reason::refused);
        return;
    }
    if (frame.front() == message_frame) {
        handlers_.on_message(body);
    }
}

void link::send_hello()
{
    send_frame(hello_frame, own_hello_);
}

void link::on_hello(std::string_view body)
{
    auto hello = read_hello(body);
    if (!hello || hello.value().node == settings_.identity.node) {
        close(close_reason::refused);
        return;
    }
    peer_ = std::move(hello).value();
    peer_hello_ = std::string(body);
    state_ = state::authenticating;
    const digest proof = proof_of(side_);
    send_frame(proof_frame,
               {reinterpret_cast<const char*>(proof.data()), proof.size()});
}

void link::on_proof(std::string_view body)
{
    const digest expected =
        proof_of(side_ == side::dialer ? side::acceptor : side::dialer);
    digest received{};
    if (body.size() != received.size()) {
        close(close_reason::refused);
        return;
    }
    std::transform(body.begin(), body.end(), received.begin(),
                   [](char c) { return static_cast<std::byte>(c); });
    if (!equal_constant_time(expected, received)) {
        close(close_reason::refused);
        return;
    }
    state_ = state::up;
    if (settings_.is_control && settings_.is_control(peer_.node)) {
        watcher_.change_priority(loop_priority::control);
    }
    handlers_.on_up();
}

digest link::proof_of(side prover) const
{
    // The message includes the prover's role, so that a proof cannot be
    // reflected to its sender.
    const bool own = prover == side_;
    std::string message = prover == side::dialer ? "dialer" : "acceptor";
    message += own ? own_hello_ : peer_hello_;
    message += own ? peer_hello_ : own_hello_;
    return hmac_sha256(settings_.shared_secret,
                       std::as_bytes(std::span(message)));
}

void link::send_frame(char kind, std::string_view body)
{
    std::string frame;
    frame.reserve(body.size() + 1);
    frame.push_back(kind);
    frame.append(body);
    last_output_ = loop_.now();
    codec_.send(frame);
    if (queued_bytes() > settings_.max_queued_bytes) {
        close(close_reason::queue_full);
        return;
    }
    if (flush_posted_) {
        return;
    }
    // All messages of one loop iteration are sent by one write.
    flush_posted_ = true;
    loop_.post([this, alive = alive_] {
        if (!*alive || state_ == state::closed) {
            return;
        }
        flush_posted_ = false;
        flush_output();
    });
}

void link::check_liveness()
{
    const time_point now = loop_.now();
    // What has arrived and waits for its turn is a sign of life.
    const bool input_waits = watcher_.waits();
    // The first bytes are sent as soon as the connection is established; until
    // then `last_input_` is the time of the start.
    const bool connecting = side_ == side::dialer && sent_ == 0;
    if (!input_waits && connecting &&
        now - last_input_ >= settings_.connect_timeout) {
        close(close_reason::not_connected);
        return;
    }
    if (!input_waits && now - last_input_ > settings_.heartbeat_timeout) {
        close(close_reason::heartbeat_timeout);
        return;
    }
    if (state_ == state::up &&
        now - last_output_ >= settings_.heartbeat_interval) {
        send_frame(heartbeat_frame, {});
    }
}

} // namespace bamboogate::net
