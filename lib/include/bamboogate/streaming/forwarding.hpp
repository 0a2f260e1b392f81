#ifndef BAMBOOGATE_STREAMING_FORWARDING_HPP
#define BAMBOOGATE_STREAMING_FORWARDING_HPP

#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/streaming/generation_service.hpp>
#include <bamboogate/streaming/messages.hpp>
#include <bamboogate/streaming/rendezvous.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace bamboogate::streaming {

/// Tokens that the owner sends ahead of the caller's credit.
constexpr std::uint64_t forward_window_tokens = 512;

/// The owner's end of a forwarded stream: a sink whose tokens go over a link.
class remote_sink : public token_sink
{
public:
    remote_sink(net::link_hub& hub, request_id id, node_id peer,
                std::uint64_t stream, std::uint64_t from_index,
                std::function<void(remote_sink&)> needs_flush)
        : hub_(hub), id_(std::move(id)), peer_(std::move(peer)),
          stream_(stream), next_(from_index), credit_(from_index),
          needs_flush_(std::move(needs_flush))
    {}

    void set_epoch(std::uint64_t number) override { epoch_ = number; }
    void token(std::uint64_t index, std::string_view text) override;
    void finished(const finish_info& info) override;
    void failed(const error& reason) override;
    [[nodiscard]] bool ready() const override
    {
        return next_ - credit_ < forward_window_tokens;
    }

    void on_credit(std::uint64_t next_index);
    /// @brief Sends what was collected.
    void flush();

    [[nodiscard]] const request_id& id() const { return id_; }
    [[nodiscard]] const node_id& peer() const { return peer_; }
    [[nodiscard]] std::uint64_t stream() const { return stream_; }
    bool flush_pending = false;

private:
    net::link_hub& hub_;
    request_id id_;
    node_id peer_;
    std::uint64_t stream_;
    std::uint64_t next_;
    std::uint64_t credit_;
    std::uint64_t epoch_ = 0;
    std::function<void(remote_sink&)> needs_flush_;
    std::vector<std::string> tokens_;
    std::uint64_t first_ = 0;
};

class attach_task;

/// What an attach task needs from the service that owns it.
class attach_host
{
public:
    virtual ~attach_host() = default;
    virtual net::event_loop& loop() = 0;
    virtual net::link_hub& hub() = 0;
    virtual const generation_options& settings() const = 0;
    virtual std::vector<net::peer_info>
    buddy_candidates(const request_id& id) = 0;
    /// @brief Attaches a sink here: to a generation that runs here, or by
    ///     takeover of a copy held here.
    virtual result<void> attach_here(const request_id& id, attach_point from,
                                     std::shared_ptr<token_sink> sink,
                                     bool may_take_over) = 0;
    /// @brief Numbers the streams that are forwarded to this gate.
    virtual std::uint64_t allocate_stream_id() = 0;
    /// @brief The task has ended; destroys it later.
    virtual void attach_ended(attach_task& task) = 0;
};

/// The caller's end of a return: finds the owner or a copy and passes
/// forwarded tokens on. Starts the search anew when the owner is lost.
class attach_task : public std::enable_shared_from_this<attach_task>
{
public:
    attach_task(attach_host& host, request_id id, attach_point from,
                std::shared_ptr<token_sink> sink);

    void start();
    void on_forward(const node_id& from, forward_tokens message);
    void on_peer_down(const node_id& peer);
    /// @brief Passes on what the sink takes.
    void release();
    void tick(time_point now);
    /// @brief Tells the owner that the caller has gone.
    void close();
    void fail_with(const error& reason);

    [[nodiscard]] const request_id& id() const { return id_; }
    [[nodiscard]] const node_id& owner() const { return owner_; }
    [[nodiscard]] std::uint64_t stream() const { return stream_; }
    [[nodiscard]] const token_sink* sink() const { return sink_.get(); }
    [[nodiscard]] bool ended() const { return ended_; }

private:
    struct step
    {
        node_id node; ///< empty is this gate
        bool may_take_over = false;
    };

    void plan();
    void next_step();
    void on_step_failed(const error& reason);
    void send_credit(bool closed);

    attach_host& host_;
    request_id id_;
    attach_point from_;
    std::shared_ptr<token_sink> sink_;
    std::deque<step> steps_;
    time_point started_;
    time_point next_plan_{};
    bool searching_ = true;
    error last_problem_{errc::generation_not_found,
                        "no gate knows the generation"};

    node_id owner_;
    std::uint64_t stream_ = 0;
    std::uint64_t passed_epoch_ = 0;
    std::uint64_t credit_sent_ = 0;
    std::uint64_t received_ = 0; ///< index after the last token received
    std::deque<std::string> pending_;
    std::optional<finish_info> finish_;
    bool ended_ = false;
};

} // namespace bamboogate::streaming

#endif
