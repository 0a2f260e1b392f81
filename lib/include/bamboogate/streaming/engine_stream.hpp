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

/// The HTTP response stream of one engine attempt. Reports each event
/// once, as received; the receiver checks order and completeness.
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
        /// The response headers arrived with status 200.
        std::function<void()> on_headers;
        std::function<void(std::uint64_t attempt, std::uint64_t index,
                           std::string text)>
            on_token;
        /// The engine finished; `count` is its number of tokens. Called at most
        /// once; no call follows.
        std::function<void(std::string reason, std::uint64_t count)> on_finish;
        /// The stream ended without a finish event. Called at most once; no
        /// call follows.
        std::function<void(stream_end)> on_end;
    };

    struct attempt_request
    {
        std::string address;
        request_id id;
        std::uint64_t attempt = 0;
        const generation_request& request; ///< used by the constructor only
        /// Tokens that the engine continues from; used by the constructor only.
        std::span<const std::string> resume_tokens;
    };

    /// @brief Sends the request. Calls no callback before it returns.
    engine_stream(net::http_client& client, const attempt_request& request,
                  callbacks handlers);

    /// @brief Stops all callbacks. The stream must be destroyed later, outside
    ///     its callbacks.
    void disable_callbacks();

    void pause() { transfer_->pause(); }
    /// @brief Resumes reading; may call callbacks before it returns.
    void resume() { transfer_->resume(); }

private:
    void handle_headers(const net::http_client::response& head);
    void handle_data(std::string_view bytes);
    void handle_event(std::string_view data);
    void handle_done(const net::http_client::outcome_type& result);
    void report_end(attempt_outcome outcome, error reason);

    callbacks handlers_;
    sse_parser parser_;
    unsigned status_ = 0;
    std::string error_body_; ///< body of an error response, truncated
    bool ended_ = false;
    std::unique_ptr<net::http_transfer> transfer_;
};

/// @brief Asks an engine to stop an attempt. The response is ignored.
void cancel_attempt(net::http_client& client, const std::string& address,
                    const request_id& id, std::uint64_t attempt);

} // namespace bamboogate::streaming

#endif
