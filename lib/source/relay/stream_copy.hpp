#ifndef BAMBOOGATE_RELAY_STREAM_COPY_HPP
#define BAMBOOGATE_RELAY_STREAM_COPY_HPP

#include <bamboogate/relay/exchange.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bamboogate::relay {

/// The copy of one running stream's memory on a second engine.
///
/// The engine of an attempt sends its memory to the holder that the attempt
/// names. When that holder is lost, or none had room, the leader is asked for
/// another one and the engine is told to copy its memory there. Such an
/// ordered copy lives for a limited time and does not grow by itself, so the
/// order is repeated while the attempt runs; each repetition transfers only
/// what is new. Not thread safe.
class stream_copy
{
public:
    struct options
    {
        service_id service;
        request_id run;
    };

    stream_copy(gate_context& context, options settings);

    /// @brief An attempt starts on an engine that was told to keep its copy
    ///     on `holder`.
    void begin(const upstream_id& engine,
               const std::optional<upstream_id>& holder);

    /// @brief The attempt's first event was seen: its memory exists.
    void note_started();

    /// @brief Drops the copy when its holder is lost, and orders another.
    void on_upstream_lost(const upstream_id& id);

    /// @brief The attempt is over. @return the copy that it can go on from
    [[nodiscard]] std::optional<held_copy> end();

    [[nodiscard]] bool usable() const;
    /// @return the engine that holds the copy or is to hold it
    [[nodiscard]] upstream_id holder() const;

private:
    void on_timer();
    /// Orders a copy, or repeats the order, where one is missing.
    void look_after();
    void ask_for_holder();
    void on_holder(const result<copy_reply>& reply);
    void order();
    void on_ordered(std::string handle);
    /// The engine answered that it made no copy.
    void on_order_refused(std::string_view cause);
    /// The engine gave no answer: it may be lost, and the copy that it made
    /// before is what its stream goes on from.
    void on_order_unanswered(std::string_view cause);
    void log_order_failure(std::string_view cause) const;
    void try_again_later();
    [[nodiscard]] const engine_profile* profile() const;

    gate_context& context_;
    options settings_;
    upstream_id engine_;
    std::optional<held_copy> copy_;
    upstream_id ordered_holder_; ///< that the newest order names
    std::set<upstream_id> refused_by_;
    bool started_ = false;
    bool asking_ = false;
    std::string answer_body_;
    unsigned answer_status_ = 0;
    std::unique_ptr<net::http1_client::exchange> call_;
    net::timer timer_;
    /// Renewed for each attempt: a late reply finds that its own has expired.
    std::shared_ptr<const bool> attempt_token_;
};

} // namespace bamboogate::relay

#endif
