#include <bamboogate/net/tcp_stream.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace bamboogate::net {

namespace {

constexpr std::size_t read_chunk_bytes = 16u << 10;
/// Bytes that the output queue may occupy beyond its unsent ones.
constexpr std::size_t max_spare_bytes = 16u << 10;

} // namespace

struct tcp_stream::impl : std::enable_shared_from_this<impl>
{
    event_loop& loop;
    int descriptor;
    callbacks handlers;
    bool connecting;
    bool closed = false;
    /// A write has found the connection broken. Linux reports the error once,
    /// so that the next read sees a plain end.
    bool broken = false;
    bool input_paused = false;
    bool output_ended = false;
    bool any_bytes_sent = false;
    std::string output;
    std::size_t offset = 0;
    std::shared_ptr<std::size_t> output_sum;
    std::size_t summed_bytes = 0; ///< that `output_sum` includes
    time_point last_accepted;     ///< when the socket accepted output
    std::size_t low_water = 0;
    std::function<void()> on_low_water;
    io_watcher watcher;

    impl(event_loop& l, int fd, bool is_connecting, callbacks c,
         std::shared_ptr<std::size_t> sum)
        : loop(l), descriptor(fd), handlers(std::move(c)),
          connecting(is_connecting), output_sum(std::move(sum)),
          watcher(l, fd, [this](io_event events) { on_ready(events); })
    {}

    ~impl() { close(); }

    void close()
    {
        if (closed) {
            return;
        }
        closed = true;
        watcher.await(io_event::none);
        ::close(descriptor);
        drop_output();
    }

    [[nodiscard]] std::size_t queued() const { return output.size() - offset; }

    void update_sum()
    {
        if (output_sum) {
            *output_sum += queued() - summed_bytes;
            summed_bytes = queued();
        }
    }

    void drop_output()
    {
        output = {};
        offset = 0;
        update_sum();
    }

    /// Releases the memory of sent bytes, also while a slow peer never lets the
    /// queue become empty.
    void trim_output()
    {
        if (queued() == 0) {
            output.clear();
            offset = 0;
            if (output.capacity() > max_spare_bytes) {
                output.shrink_to_fit();
            }
        } else if (offset > max_spare_bytes && offset > queued()) {
            output.erase(0, offset);
            offset = 0;
            output.shrink_to_fit();
        }
        update_sum();
    }

    void notify_low_water()
    {
        if (on_low_water && queued() <= low_water) {
            const auto function = std::exchange(on_low_water, nullptr);
            function();
        }
    }

    void update_interest()
    {
        if (closed) {
            return;
        }
        const bool wants_write = connecting || offset < output.size();
        const bool wants_read = !connecting && !input_paused;
        watcher.await(static_cast<io_event>((wants_read ? 1 : 0) |
                                            (wants_write ? 2 : 0)));
    }

    void end(stream_end reason)
    {
        if (closed) {
            return;
        }
        close();
        if (handlers.on_end) {
            const auto handler = handlers.on_end;
            handler(reason);
        }
    }

    void on_ready(io_event events)
    {
        const auto self = shared_from_this();
        if (connecting && !finish_connect()) {
            return;
        }
        if (closed) {
            return;
        }
        if (has(events, io_event::write)) {
            flush(true);
            if (!closed) {
                notify_low_water();
            }
        }
        if (!closed && has(events, io_event::read)) {
            read_input();
        }
        update_interest();
    }

    bool finish_connect()
    {
        int problem = 0;
        socklen_t length = sizeof problem;
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &problem, &length);
        if (problem != 0) {
            end(stream_end::reset);
            return false;
        }
        connecting = false;
        if (handlers.on_connected) {
            const auto handler = handlers.on_connected;
            handler();
        }
        return !closed;
    }

    /// Why the input has ended without an error.
    [[nodiscard]] stream_end reason_of_end() const
    {
        if (broken) {
            return stream_end::reset;
        }
        int unacknowledged = 0;
        if (::ioctl(descriptor, SIOCOUTQ, &unacknowledged) != 0) {
            unacknowledged = 0;
        }
        return queued() > 0 || unacknowledged > 0 ? stream_end::closed_early
                                                  : stream_end::closed;
    }

    /// @return number of bytes handled; 0 if there were none or at the end
    std::size_t read_input()
    {
        std::array<char, read_chunk_bytes> buffer;
        const auto count = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return 0;
        }
        if (count < 0) {
            end(stream_end::reset);
            return 0;
        }
        if (count == 0) {
            end(reason_of_end());
            return 0;
        }
        const auto size = static_cast<std::size_t>(count);
        const auto handler = handlers.on_data;
        handler({buffer.data(), size});
        return size;
    }

    bool read_arrived()
    {
        // Bounds the loop if the peer sends faster than the input is handled.
        int arrived = 0;
        if (closed || connecting ||
            ::ioctl(descriptor, FIONREAD, &arrived) != 0) {
            return false;
        }
        const auto limit = static_cast<std::size_t>(std::max(arrived, 0));
        std::size_t handled = 0;
        while (handled < limit && !closed && !input_paused) {
            const std::size_t count = read_input();
            if (count == 0) {
                break;
            }
            handled += count;
        }
        return handled > 0;
    }

    void flush(bool notify)
    {
        while (offset < output.size()) {
            const auto count = ::send(descriptor, output.data() + offset,
                                      output.size() - offset, MSG_NOSIGNAL);
            if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
                trim_output();
                return;
            }
            if (count < 0) {
                // The end is reported from the event loop, never from inside a
                // call of the owner.
                broken = true;
                drop_output();
                const std::weak_ptr<impl> weak = shared_from_this();
                loop.post([weak] {
                    if (const auto self = weak.lock()) {
                        self->end(stream_end::reset);
                    }
                });
                return;
            }
            any_bytes_sent = true;
            last_accepted = loop.now();
            offset += static_cast<std::size_t>(count);
        }
        trim_output();
        if (output_ended) {
            ::shutdown(descriptor, SHUT_WR);
        }
        if (notify && handlers.on_drained) {
            const auto handler = handlers.on_drained;
            handler();
        }
    }
};

tcp_stream::tcp_stream(event_loop& loop, int descriptor, bool connecting,
                       callbacks handlers,
                       std::shared_ptr<std::size_t> output_sum)
    : impl_(std::make_shared<impl>(loop, descriptor, connecting,
                                   std::move(handlers), std::move(output_sum)))
{
    impl_->update_interest();
}

tcp_stream::~tcp_stream()
{
    impl_->handlers = {};
    impl_->on_low_water = nullptr;
    impl_->close();
}

void tcp_stream::write(std::string_view bytes)
{
    if (impl_->closed || impl_->broken || impl_->output_ended) {
        return;
    }
    if (impl_->queued() == 0) {
        impl_->last_accepted = impl_->loop.now();
    }
    impl_->output.append(bytes);
    impl_->update_sum();
    if (!impl_->connecting) {
        impl_->flush(false);
    }
    impl_->update_interest();
    if (impl_->on_low_water && impl_->queued() <= impl_->low_water) {
        const std::weak_ptr<impl> weak = impl_;
        impl_->loop.post([weak] {
            if (const auto self = weak.lock()) {
                self->notify_low_water();
            }
        });
    }
}

void tcp_stream::shutdown_output()
{
    if (impl_->closed || impl_->output_ended) {
        return;
    }
    impl_->output_ended = true;
    if (!impl_->connecting && impl_->output.empty()) {
        ::shutdown(impl_->descriptor, SHUT_WR);
    }
}

void tcp_stream::reset()
{
    if (!impl_->closed) {
        // Without a time to linger, closing discards the output and resets.
        const linger discard{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(impl_->descriptor, SOL_SOCKET, SO_LINGER, &discard,
                     sizeof discard);
        impl_->close();
    }
}

bool tcp_stream::read_arrived()
{
    const auto held = impl_;
    return held->read_arrived();
}

void tcp_stream::pause_input(bool paused)
{
    impl_->input_paused = paused;
    impl_->update_interest();
}

void tcp_stream::when_output_below(std::size_t bytes,
                                   std::function<void()> function)
{
    impl_->low_water = bytes;
    impl_->on_low_water = std::move(function);
}

std::size_t tcp_stream::queued_bytes() const
{
    return impl_->queued();
}

std::optional<time_point> tcp_stream::blocked_since() const
{
    if (impl_->queued() == 0) {
        return std::nullopt;
    }
    return impl_->last_accepted;
}

bool tcp_stream::connected() const
{
    return !impl_->closed && !impl_->broken && !impl_->connecting;
}

bool tcp_stream::any_bytes_sent() const
{
    return impl_->any_bytes_sent;
}

} // namespace bamboogate::net
