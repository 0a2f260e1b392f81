#ifndef BAMBOOGATE_GATE_COMPLETION_SINKS_HPP
#define BAMBOOGATE_GATE_COMPLETION_SINKS_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/http_server.hpp>
#include <bamboogate/streaming/token_sink.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bamboogate::gate {

/// Writes a generation to its caller as server-sent events.
class sse_sink : public streaming::token_sink
{
public:
    struct options
    {
        std::string caller_token;
        model_id model;
        /// Sent with the header section, after the fixed fields.
        net::http_headers extra_headers{};
        /// Above this many unsent bytes the sink accepts no tokens.
        std::size_t max_buffered_bytes = 64u << 10;
    };

    sse_sink(std::shared_ptr<net::responder> out, options settings);

    /// @brief Sends the header section, which has the id of the generation.
    void send_headers();

    /// @brief Sends a comment when nothing was sent for `idle_limit`, so that
    ///     neither end times out the stream.
    void send_keepalive(time_point now, duration idle_limit);

    [[nodiscard]] const std::shared_ptr<net::responder>& out() const noexcept
    {
        return out_;
    }

    void accepted() override { send_headers(); }
    void set_epoch(std::uint64_t epoch) override;
    void token(std::uint64_t index, std::string_view text) override;
    void finished(const streaming::finish_info& info) override;
    void failed(const error& reason) override;
    [[nodiscard]] bool ready() const override;

private:
    std::shared_ptr<net::responder> out_;
    options settings_;
    std::string event_prefix_;
    std::string scratch_;
    bool headers_sent_ = false;
    time_point last_write_;
};

/// Forwards to a sink that can only be created once the generation has its id.
/// No other function may be called before `set_target`.
class deferred_sink : public streaming::token_sink
{
public:
    void set_target(std::shared_ptr<streaming::token_sink> target)
    {
        target_ = std::move(target);
    }

    void accepted() override { target_->accepted(); }
    void set_epoch(std::uint64_t epoch) override { target_->set_epoch(epoch); }
    void token(std::uint64_t index, std::string_view text) override
    {
        target_->token(index, text);
    }
    void finished(const streaming::finish_info& info) override
    {
        target_->finished(info);
    }
    void failed(const error& reason) override { target_->failed(reason); }
    [[nodiscard]] bool ready() const override { return target_->ready(); }

private:
    std::shared_ptr<streaming::token_sink> target_;
};

/// Collects a generation and sends it as one JSON response.
class json_response_sink : public streaming::token_sink
{
public:
    json_response_sink(std::shared_ptr<net::responder> out,
                       std::string caller_token, model_id model);

    void token(std::uint64_t index, std::string_view text) override;
    void finished(const streaming::finish_info& info) override;
    void failed(const error& reason) override;
    [[nodiscard]] bool ready() const override { return true; }

private:
    std::shared_ptr<net::responder> out_;
    std::string caller_token_;
    model_id model_;
    std::string text_;
};

} // namespace bamboogate::gate

#endif
