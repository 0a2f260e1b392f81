#ifndef BAMBOOGATE_RELAY_STREAM_COPY_HPP
#define BAMBOOGATE_RELAY_STREAM_COPY_HPP

#include <bamboogate/relay/exchange.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bamboogate::relay {

/// Maintains the KV cache copy of a running stream on a second engine.
///
/// The engine of an attempt replicates its KV cache to the holder named in the
/// attempt. When that holder is lost, or none had capacity, the leader is asked
/// for another one and the engine is told to copy its KV cache there. Such an
/// on-demand copy expires and is not updated by itself, so the copy call is
/// repeated while the attempt runs; each call transfers only what is new. Not
/// thread safe.
class stream_copy
{
public:
    struct options
    {
        service_id service;
        request_id run;
    };

    stream_copy(gate_context& context, options settings);

    /// @brief Starts an attempt on an engine that was told to replicate to
    ///     `holder`.
    void begin(const upstream_id& engine,
               const std::optional<upstream_id>& holder);

    /// @brief Records the attempt's first event: its KV cache exists.
    void note_started();

    /// @brief Drops the copy when its holder is lost, and requests another one.
    void on_upstream_lost(const upstream_id& id);

    /// @brief Ends the attempt. @return the copy from which the stream can
    ///     resume
    [[nodiscard]] std::optional<held_copy> end();

    [[nodiscard]] bool usable() const;
    /// @return the engine that holds the copy or was chosen to hold it
    [[nodiscard]] upstream_id holder() const;

private:
    void on_timer();
    /// Requests a copy if there is none, or renews one that was made on demand.
    void maintain_copy();
    void request_holder();
    void on_holder(const result<copy_reply>& reply);
    void call_copy();
    void on_copy_made(std::string handle);
    /// The engine responded that it made no copy.
    void on_copy_refused(std::string_view cause);
    /// The engine did not respond and may be lost; its stream then resumes from
    /// the copy that it made before.
    void on_copy_call_failed(std::string_view cause);
    void log_copy_failure(std::string_view cause) const;
    void schedule_retry();
    [[nodiscard]] const engine_profile* profile() const;

    gate_context& context_;
    options settings_;
    upstream_id engine_;
    std::optional<held_copy> copy_;
    upstream_id target_holder_; ///< holder in the newest copy call
    std::set<upstream_id> refused_by_;
    bool started_ = false;
    bool holder_requested_ = false;
    std::string response_body_;
    unsigned response_status_ = 0;
    std::unique_ptr<net::http1_client::exchange> call_;
    net::timer timer_;
    /// Replaced for each attempt, so that a late reply to an earlier one is
    /// ignored.
    std::shared_ptr<const bool> attempt_token_;
};

} // namespace bamboogate::relay

#endif
