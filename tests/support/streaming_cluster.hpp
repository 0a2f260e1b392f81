#ifndef BAMBOOGATE_TESTS_SUPPORT_STREAMING_CLUSTER_HPP
#define BAMBOOGATE_TESTS_SUPPORT_STREAMING_CLUSTER_HPP

#include <bamboogate/net/http_client.hpp>
#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/streaming/generation_service.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "fakes/fake_engine.hpp"

namespace bamboogate::tests {

/// Engine directory for tests: chooses the engine with the fewest running
/// attempts that is not excluded. It does not detect failures.
class fixed_engine_directory : public streaming::engine_directory
{
public:
    struct entry
    {
        upstream_id id;
        std::string address;
        std::string failure_domain = "south";
        bool listed = true;   ///< may be chosen
        bool alive = true;    ///< result of `is_alive`
        unsigned running = 0; ///< attempts
    };

    std::map<std::string, entry> entries;
    std::map<streaming::attempt_outcome, unsigned> outcomes;
    std::uint64_t started = 0;

    std::optional<streaming::engine_choice>
    choose(const streaming::engine_query& query) override
    {
        const entry* best = nullptr;
        for (const auto& [name, each] : entries) {
            const bool excluded =
                std::find(query.excluded.begin(), query.excluded.end(),
                          each.id) != query.excluded.end();
            if (each.listed && !excluded &&
                (best == nullptr || each.running < best->running)) {
                best = &each;
            }
        }
        if (best == nullptr) {
            return std::nullopt;
        }
        return streaming::engine_choice{best->id, incarnation{1}, best->address,
                                        failure_domain_id(best->failure_domain),
                                        duration::zero()};
    }

    void attempt_started(const streaming::engine_choice& engine,
                         const request_id&, std::uint64_t) override
    {
        ++started;
        ++entries.at(engine.upstream.value()).running;
    }

    void attempt_ended(const streaming::engine_choice& engine,
                       const request_id&, std::uint64_t,
                       streaming::attempt_outcome outcome,
                       std::uint64_t) override
    {
        ++outcomes[outcome];
        --entries.at(engine.upstream.value()).running;
    }

    [[nodiscard]] bool is_alive(const upstream_id& upstream,
                                incarnation) const override
    {
        const auto found = entries.find(upstream.value());
        return found != entries.end() && found->second.alive;
    }
};

/// A caller that collects the tokens of its answer over several connections and
/// detects tokens that are missing, repeated or of another continuation.
class test_caller
{
public:
    /// One connection of the caller. Records tokens that arrive after a newer
    /// connection was opened.
    class connection : public streaming::token_sink
    {
    public:
        connection(test_caller& owner, unsigned number)
            : owner_(&owner), number_(number)
        {}
        void accepted() override
        {
            if (current()) {
                owner_->accepted = true;
            }
        }
        void set_epoch(std::uint64_t new_epoch) override
        {
            if (current()) {
                owner_->epoch = new_epoch;
            }
        }
        void token(std::uint64_t index, std::string_view text) override
        {
            ++tokens;
            if (!current()) {
                late.emplace_back(index, text);
                return;
            }
            owner_->receive(index, text);
        }
        void finished(const streaming::finish_info& info) override
        {
            ended = true;
            late_finish = !current();
            if (current()) {
                owner_->finish = info;
            }
        }
        void failed(const error& reason) override
        {
            ended = true;
            failure = reason;
            if (current()) {
                owner_->failure = reason;
            }
        }
        [[nodiscard]] bool ready() const override { return accepts_tokens; }

        unsigned tokens = 0;
        /// Index and text of tokens received after the caller had abandoned
        /// this connection.
        std::vector<std::pair<std::uint64_t, std::string>> late;
        bool late_finish = false;
        bool ended = false;
        bool accepts_tokens = true;
        std::optional<error> failure;

        void detach() { owner_ = nullptr; }

    private:
        [[nodiscard]] bool current() const
        {
            return owner_ != nullptr && owner_->connections == number_;
        }

        test_caller* owner_;
        unsigned number_;
    };

    test_caller() = default;
    test_caller(const test_caller&) = delete;
    test_caller& operator=(const test_caller&) = delete;
    ~test_caller()
    {
        for (const auto& each : all_connections_) {
            each->detach();
        }
    }

    std::shared_ptr<connection> connect()
    {
        failure.reset();
        sink = std::make_shared<connection>(*this, ++connections);
        all_connections_.push_back(sink);
        return sink;
    }

    /// @brief True if every token that an older connection still received
    ///     equals the caller's token at that index: no gate released another
    ///     continuation.
    [[nodiscard]] bool agrees_with_older_connections() const
    {
        for (const auto& each : all_connections_) {
            for (const auto& [index, text] : each->late) {
                if (index >= tokens.size() || tokens[index] != text) {
                    return false;
                }
            }
        }
        return true;
    }

    /// Abandons the connection without notice to the gate.
    void abandon_connection() { ++connections; }

    void receive(std::uint64_t index, std::string_view text)
    {
        if (index != tokens.size()) {
            contiguous = false;
        }
        tokens.emplace_back(text);
        last_token = monotonic_clock::now();
        if (token_arrivals.size() < tokens.size()) {
            token_arrivals.push_back(last_token);
        }
    }

    [[nodiscard]] bool is_complete(fakes::token_mode mode) const
    {
        return contiguous && finish && finish->count == tokens.size() &&
               fakes::is_valid_answer(prompt, max_tokens, tokens, mode);
    }

    /// The longest time between two consecutive tokens; 0 with fewer than two.
    [[nodiscard]] duration longest_pause() const
    {
        duration longest{};
        for (std::size_t i = 1; i < token_arrivals.size(); ++i) {
            longest =
                std::max(longest, token_arrivals[i] - token_arrivals[i - 1]);
        }
        return longest;
    }

    std::string prompt;
    std::uint64_t max_tokens = 0;
    request_id id;
    std::size_t gate = 0;
    unsigned connections = 0;
    std::vector<std::string> tokens;
    std::vector<time_point> token_arrivals;
    time_point last_token = monotonic_clock::now();
    std::uint64_t epoch = 0;
    bool contiguous = true;
    bool accepted = false; ///< the caller may know the id
    std::optional<streaming::finish_info> finish;
    std::optional<error> failure;
    std::shared_ptr<connection> sink;

private:
    std::vector<std::shared_ptr<connection>> all_connections_;
};

/// A gate's streaming side on a loop of its own, so that a test can freeze it
/// by not running the loop.
struct test_gate
{
    test_gate(const std::string& name, const std::string& domain,
              std::uint64_t number, net::link_hub::options links,
              streaming::generation_options settings)
    {
        links.identity = {node_id(name), incarnation{number},
                          failure_domain_id(domain)};
        links.shared_secret = secret("shared");
        hub = std::make_unique<net::link_hub>(loop, links);
        client = std::make_unique<net::http_client>(loop);
        service = std::make_unique<streaming::generation_service>(
            loop, *hub, *client, engines, std::move(settings));
    }

    ~test_gate()
    {
        service.reset();
        client.reset();
        hub.reset();
    }

    net::event_loop loop;
    fixed_engine_directory engines;
    std::unique_ptr<net::link_hub> hub;
    std::unique_ptr<net::http_client> client;
    std::unique_ptr<streaming::generation_service> service;
    bool frozen = false;
    net::address link_address;
};

/// Gates and engines in one process, connected over loopback.
class streaming_cluster
{
public:
    struct options
    {
        std::size_t gates = 3;
        std::size_t engines = 3;
        fakes::fake_engine::options engine;
        streaming::generation_options streaming;
        net::link_hub::options links;
    };

    /// @brief Settings with short time-outs, for tests.
    static options fast()
    {
        using namespace std::chrono_literals;
        options out;
        out.engine.token_interval = 2ms;
        out.engine.slots = 256;
        out.links.heartbeat_interval = 30ms;
        out.links.heartbeat_timeout = 250ms;
        out.links.reconnect_interval = 10ms;
        auto& silence = out.streaming.silence;
        silence.header_limit = 300ms;
        silence.first_token_limit = 500ms;
        silence.min_limit = 150ms;
        silence.warmup_limit = 200ms;
        out.streaming.buddy_ack_timeout = 150ms;
        out.streaming.resend_interval = 60ms;
        out.streaming.no_buddy_grace_period = 600ms;
        out.streaming.takeover_holdoff = 300ms;
        out.streaming.attach_request_timeout = 100ms;
        out.streaming.engine_retry_interval = 10ms;
        return out;
    }

    explicit streaming_cluster(options settings)
        : settings_(std::move(settings)), gates(settings_.gates),
          engines(settings_.engines)
    {
        for (std::size_t i = 0; i < engines.size(); ++i) {
            start_engine(i);
        }
        for (std::size_t i = 0; i < gates.size(); ++i) {
            start_gate(i);
        }
        run_until([this] {
            return std::all_of(gates.begin(), gates.end(), [this](auto& g) {
                return g->hub->peers_up().size() == gates.size() - 1;
            });
        });
    }

    void start_engine(std::size_t i)
    {
        auto chosen = settings_.engine;
        chosen.id = "engine-" + std::to_string(i);
        const bool restarted = engine_addresses_.contains(i);
        engines[i] = std::make_unique<fakes::fake_engine>(engine_loop, chosen);
        const net::address listen_address =
            restarted ? engine_addresses_[i] : net::address{"127.0.0.1", 0};
        if (!engines[i]->start(listen_address)) {
            engines[i].reset();
            return;
        }
        engine_addresses_[i] = engines[i]->address();
        for (auto& gate : gates) {
            if (gate) {
                list_engine(*gate, i);
            }
        }
    }

    /// @brief Destroys an engine. The gates keep it listed; `start_engine`
    ///     restarts it at the same address.
    void kill_engine(std::size_t i) { engines[i].reset(); }

    void start_gate(std::size_t i)
    {
        static constexpr std::array<const char*, 3> domains{"south", "east",
                                                            "west"};
        const std::string name = "gate-" + std::to_string(i);
        gates[i] = std::make_unique<test_gate>(
            name, domains.at(i % domains.size()), ++incarnations_,
            settings_.links, settings_.streaming);
        auto bound = gates[i]->hub->listen({"127.0.0.1", 0});
        if (bound) {
            gates[i]->link_address = bound.value();
        }
        for (std::size_t k = 0; k < engines.size(); ++k) {
            list_engine(*gates[i], k);
        }
        for (std::size_t k = 0; k < gates.size(); ++k) {
            if (k != i && gates[k]) {
                const node_id peer("gate-" + std::to_string(k));
                gates[i]->hub->add_peer(peer, gates[k]->link_address);
                gates[k]->hub->add_peer(node_id(name), gates[i]->link_address);
            }
        }
    }

    /// @brief Destroys a gate; `start_gate` starts it with a new incarnation.
    void kill_gate(std::size_t i) { gates[i].reset(); }
    void freeze_gate(std::size_t i, bool frozen) { gates[i]->frozen = frozen; }

    /// @brief Runs one iteration of every event loop that is not frozen.
    void run_once()
    {
        engine_loop.run_once();
        for (auto& gate : gates) {
            if (gate && !gate->frozen) {
                gate->loop.run_once();
            }
        }
        std::this_thread::sleep_for(std::chrono::microseconds(50));
    }

    /// @brief Runs the event loops until the condition holds.
    /// @return false if the time limit was exceeded first
    template <typename Condition>
    bool run_until(Condition condition,
                   duration limit = std::chrono::seconds(10))
    {
        // run_once does not block, so the condition is checked continuously.
        const time_point end = monotonic_clock::now() + limit;
        while (!condition() && monotonic_clock::now() < end) {
            run_once();
        }
        return condition();
    }

    void run_for(duration time)
    {
        run_until([] { return false; }, time);
    }

    /// @brief Starts a generation for a caller at a gate.
    /// @return false if the gate refused it
    bool start(test_caller& caller, std::size_t gate, std::string prompt,
               std::uint64_t max_tokens = 0)
    {
        caller.prompt = std::move(prompt);
        caller.max_tokens = max_tokens;
        caller.gate = gate;
        auto id = gates[gate]->service->start({.model = model_id("model-1"),
                                               .prompt = caller.prompt,
                                               .max_tokens = max_tokens},
                                              caller.connect());
        if (id) {
            caller.id = id.value();
        }
        return id.has_value();
    }

    /// @brief Reconnects a caller to its generation at a gate.
    void attach(test_caller& caller, std::size_t gate)
    {
        caller.gate = gate;
        const auto sink = caller.connect();
        gates[gate]->service->attach(
            caller.id,
            {.from_index = caller.tokens.size(), .epoch = caller.epoch}, sink);
    }

    /// @brief Index of the buddy gate, taken from the hint in the request id.
    /// @return the number of gates if there is no hint
    /// @pre at most ten gates: one digit of the name is read
    [[nodiscard]] std::size_t buddy_of(const request_id& id) const
    {
        const std::string& text = id.value();
        const auto first = text.find("~gate-");
        return first == std::string::npos
                   ? gates.size()
                   : static_cast<std::size_t>(text.at(first + 6) - '0');
    }

private:
    void list_engine(test_gate& gate, std::size_t i)
    {
        const std::string name = "engine-" + std::to_string(i);
        auto& entry = gate.engines.entries[name];
        entry.id = upstream_id(name);
        entry.address = engine_addresses_[i].text();
    }

    options settings_;
    std::map<std::size_t, net::address> engine_addresses_;
    std::uint64_t incarnations_ = 0;

public:
    net::event_loop engine_loop;
    std::vector<std::unique_ptr<test_gate>> gates;
    std::vector<std::unique_ptr<fakes::fake_engine>> engines;
};

} // namespace bamboogate::tests

#endif
