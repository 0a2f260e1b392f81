// Output of an HTTP server that its clients have not read.
#include <algorithm>

#include "http1_connection.hpp"

namespace bamboogate::net {

void http1_responder::when_output_below(std::size_t bytes,
                                        std::function<void()> function)
{
    if (const auto connection = connection_.lock(); connection && !ended()) {
        connection->when_output_below(bytes, std::move(function));
    }
}

void http1_connection::when_output_below(std::size_t bytes,
                                         std::function<void()> function)
{
    if (stream_) {
        stream_->when_output_below(bytes, std::move(function));
    }
}

std::optional<unread_output> http1_connection::unread() const
{
    const auto since = stream_ ? stream_->blocked_since() : std::nullopt;
    if (!since) {
        return std::nullopt;
    }
    return unread_output{number_, stream_->queued_bytes(), *since};
}

void http1_connection::disconnect()
{
    if (phase_ == phase::closed) {
        return;
    }
    if (responder_) {
        responder_->disconnected_by_server_ = true;
    }
    on_end();
}

void http1_connection::on_linger_timeout()
{
    const auto since = stream_->blocked_since();
    const bool expired =
        since ? server_.loop.now() - *since >= server_.settings.unread_timeout
              : linger_queued_ == 0;
    if (expired) {
        close();
        return;
    }
    linger_queued_ = stream_->queued_bytes();
    timer_.start_once(server_.settings.linger_timeout);
}

std::size_t http1_server::unread_bytes() const
{
    return *impl_->unread_bytes;
}

std::vector<unread_output> http1_server::unread_outputs() const
{
    std::vector<unread_output> out;
    for (const auto& each : impl_->connections) {
        if (const auto unread = each->unread()) {
            out.push_back(*unread);
        }
    }
    return out;
}

void http1_server::disconnect(std::uint64_t connection)
{
    const auto found = std::find_if(
        impl_->connections.begin(), impl_->connections.end(),
        [&](const auto& each) { return each->number() == connection; });
    if (found != impl_->connections.end()) {
        const auto held = *found;
        held->disconnect();
    }
}

} // namespace bamboogate::net
