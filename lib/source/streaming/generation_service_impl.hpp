#ifndef BAMBOOGATE_STREAMING_GENERATION_SERVICE_IMPL_HPP
#define BAMBOOGATE_STREAMING_GENERATION_SERVICE_IMPL_HPP

#include <bamboogate/streaming/buddy_store.hpp>
#include <bamboogate/streaming/forwarding.hpp>
#include <bamboogate/streaming/generation_service.hpp>
#include <bamboogate/streaming/generation_task.hpp>

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bamboogate::streaming {

struct generation_service::impl : task_host, attach_host
{
    using stream_key = std::pair<node_id, std::uint64_t>;

    net::event_loop& loop_;
    net::link_hub& hub_;
    net::http_client& client_;
    engine_directory& directory_;
    generation_options settings_;
    generation_counters counters_;
    buddy_store store_;
    std::unordered_map<request_id, std::shared_ptr<generation_task>> tasks_;
    std::vector<std::shared_ptr<attach_task>> attaches_;
    std::map<stream_key, std::shared_ptr<remote_sink>> remote_sinks_;
    std::vector<std::shared_ptr<generation_task>> dirty_tasks_;
    std::vector<stream_key> dirty_sinks_;
    std::map<node_id, token_batches> outgoing_;
    std::vector<std::unique_ptr<engine_stream>> retired_;
    std::uint64_t last_stream_ = 0;
    std::size_t alone_ = 0;
    bool flush_posted_ = false;
    bool cleanup_posted_ = false;
    bool draining_ = false;
    std::function<void()> when_idle_;
    net::timer tick_timer_;
    time_point last_tick_{};
    std::optional<time_point> woke_at_; ///< after standing still
    time_point last_expiry_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

    impl(net::event_loop& loop, net::link_hub& hub, net::http_client& client,
         engine_directory& directory, generation_options settings);
    ~impl() override;

    // Generations here.
    result<request_id> start(generation_request request,
                             std::shared_ptr<token_sink> sink);
    void attach(const request_id& id, attach_point from,
                std::shared_ptr<token_sink> sink);
    void cancel(const request_id& id);
    void cancel_here(const request_id& id);
    result<void> take_over(const request_id& id, const held_copy& copy,
                           attach_point from, std::shared_ptr<token_sink> sink);
    [[nodiscard]] generation_task* find(const request_id& id) const;
    [[nodiscard]] std::size_t running() const;
    void tick();
    /// True when the process was suspended since the last tick.
    [[nodiscard]] bool stood_still(time_point now) const;
    void start_ticking();
    void drop_old_tasks(time_point now);
    void check_idle();
    void post(void (impl::*function)());
    void flush();
    void cleanup();

    // Messages of other gates.
    void register_handlers();
    void on_copy(const node_id& from, generation_copy copy);
    void ask_previous_buddies(const node_id& owner, const request_id& id,
                              std::uint64_t epoch,
                              std::vector<node_id> previous);
    void on_batches(const node_id& from, const token_batches& batches);
    void on_end(const node_id& from, const generation_end& message);
    void on_forward(const node_id& from, forward_tokens message);
    void on_credit(const node_id& from, const forward_credit& message);
    void on_peer_state(const node_id& peer, bool up);
    result<attach_reply> on_attach(const node_id& from,
                                   const attach_request& request);
    void send_reply(const node_id& to, const buddy_store::reply& reply);
    [[nodiscard]] std::uint64_t known_epoch(const request_id& id) const;

    template <typename Message>
    void handle(void (impl::*function)(const node_id&, Message));

    // task_host and attach_host
    net::event_loop& loop() override { return loop_; }
    net::link_hub& hub() override { return hub_; }
    net::http_client& client() override { return client_; }
    engine_directory& directory() override { return directory_; }
    const generation_options& settings() const override { return settings_; }
    generation_counters& counters() override { return counters_; }
    void needs_flush(generation_task& task) override;
    void send_batch(const node_id& buddy, token_batch batch) override;
    void retire(std::unique_ptr<engine_stream> stream) override;
    std::vector<net::peer_info> buddy_candidates(const request_id& id) override;
    void set_without_buddy(bool without_buddy) override;
    void ended(generation_task& task) override;
    result<void> attach_here(const request_id& id, attach_point from,
                             std::shared_ptr<token_sink> sink,
                             bool may_take_over) override;
    std::uint64_t allocate_stream_id() override { return ++last_stream_; }
    void attach_ended(attach_task& task) override;
};

} // namespace bamboogate::streaming

#endif
