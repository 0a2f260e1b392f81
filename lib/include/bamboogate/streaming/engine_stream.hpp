#ifndef BAMBOOGATE_STREAMING_ENGINE_STREAM_HPP
#define BAMBOOGATE_STREAMING_ENGINE_STREAM_HPP

#include <bamboogate/net/http_client.hpp>
#include <bamboogate/streaming/engine_directory.hpp>
#include <bamboogate/streaming/generation_request.hpp>
#include <bamboogate/streaming/sse_parser.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace bamboogate::streaming {

/// One attempt's HTTP stream from an engine. Reports typed events and never a
/// token twice; order and completeness are the receiver's to judge.
/// Not thread safe.
class engine_stream
{
public:
    struct stream_end
    {
        attempt_outcome outcome = attempt_outcome::reset;
        error reason;
    };

    struct callbacks
    {
        std::function<void()> on_headers;
        std::function<void(std::uint64_t attempt, std::uint64_t index,
                           std::string text)>
            on_token;
        std::function<void(std::string reason, std::uint64_t count)> on_finish;
        /// The stream ended without a finish. Called at most once.
        std::function<void(stream_end)> on_end;
    };

    struct attempt_request
    {
        std::string address;
        request_id id;
        std::uint64_t attempt = 0;
        const generation_request& request;
        std::span<const std::string> resume_tokens;
    };

    /// @brief Sends the request. No callback comes from inside.
    engine_stream(net::http_client& client, const attempt_request& request,
                  callbacks handlers);

    /// @brief Ends all callbacks. The stream must be destroyed later, outside
    ///     its callbacks.
    void disable_callbacks();

    void pause() { transfer_->pause(); }
    /// @brief Takes input again; callbacks may come from inside.
    void resume() { transfer_->resume(); }

private:
    void take_headers(const net::http_client::response& head);
    void take_data(std::string_view bytes);
    void take_event(std::string_view data);
    void take_done(const net::http_client::outcome_type& result);
    void finish_with(attempt_outcome outcome, error reason);

    callbacks handlers_;
    sse_parser parser_;
    unsigned status_ = 0;
    std::string refusal_; ///< body of an error answer, bounded
    bool ended_ = false;
    std::unique_ptr<net::http_transfer> transfer_;
};

/// @brief Asks an engine to stop an attempt. The answer does not matter.
void cancel_attempt(net::http_client& client, const std::string& address,
                    const request_id& id, std::uint64_t attempt);

} // namespace bamboogate::streaming

#endif
