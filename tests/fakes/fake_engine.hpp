#ifndef BAMBOOGATE_TESTS_FAKES_FAKE_ENGINE_HPP
#define BAMBOOGATE_TESTS_FAKES_FAKE_ENGINE_HPP

#include <bamboogate/core/json.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http_client.hpp>
#include <bamboogate/net/http_server.hpp>
#include <bamboogate/routing/prefix_index.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fakes/announcer.hpp"
#include "fakes/token_source.hpp"

namespace bamboogate::fakes {

/// Injected faults. Tokens are counted over the lifetime of the fake engine.
struct engine_faults
{
    std::uint64_t exit_after_tokens = 0;   ///< calls `on_exit_fault`
    std::uint64_t freeze_every_tokens = 0; ///< open and new requests hang
    std::uint64_t reset_every_tokens = 0;  ///< aborts that token's stream
    std::uint64_t repeat_every_tokens = 0; ///< sends that token twice
    std::uint64_t skip_every_tokens = 0;   ///< omits that token
    bool omit_finish =
        false;           ///< ends streams without finish reason and `[DONE]`
    bool refuse = false; ///< responds 503 to every request
};

/// A fake engine that implements the published protocol. It runs on an event
/// loop, so that a test can run many of them in one process.
class fake_engine
{
public:
    struct options
    {
        std::string id = "engine-1";
        std::string failure_domain = "south";
        std::vector<std::string> models{"model-1"};
        unsigned slots = 8;
        duration token_interval = std::chrono::milliseconds(20);
        duration prefill_per_token = duration::zero();
        token_mode mode = token_mode::prefix;
        bool ignore_fencing = false;     ///< accepts superseded orders
        std::vector<std::string> gates;  ///< `host:port`; announced to if any
        std::size_t cache_blocks = 4096; ///< capacity of the prefix cache
        std::uint64_t incarnation = new_incarnation();
        engine_faults faults;
    };

    struct counters
    {
        std::uint64_t attempts = 0;
        std::uint64_t tokens = 0; ///< generated
        std::uint64_t prefill_tokens = 0;
        std::uint64_t cancelled = 0; ///< includes closed connections
        std::uint64_t orders = 0;
        std::uint64_t orders_refused = 0;
    };

    fake_engine(net::event_loop& loop, options settings)
        : loop_(loop), settings_(std::move(settings)), client_(loop),
          announcer_(loop, client_, settings_.gates, settings_.id,
                     settings_.incarnation,
                     [this](std::size_t gate) { return describe(gate); })
    {}

    result<void> start(const net::address& listen_address)
    {
        net::http_server::options http;
        http.listen_address = listen_address;
        http.daemons = 1;
        http.flush_delay = std::chrono::microseconds(200);
        http.idle_timeout = std::chrono::seconds(0);
        BOOST_OUTCOME_TRY(server,
                          net::http_server::start(
                              loop_, http,
                              [this](const net::http_request& request,
                                     const std::shared_ptr<net::responder>& r) {
                                  handle(request, r);
                              }));
        server_ = std::move(server);
        if (!settings_.gates.empty()) {
            announcer_.start();
        }
        return outcome::success();
    }

    [[nodiscard]] const net::address& address() const
    {
        return server_->bound_address();
    }
    [[nodiscard]] const counters& totals() const { return totals_; }
    [[nodiscard]] const options& settings() const { return settings_; }
    [[nodiscard]] std::size_t running() const { return active_; }
    engine_faults& faults() { return settings_.faults; }

    /// @brief Stops all output and defers requests until unfrozen.
    void freeze(bool frozen)
    {
        frozen_ = frozen;
        if (frozen) {
            return;
        }
        for (auto& [request, responder] : std::exchange(deferred_, {})) {
            handle(request, responder);
        }
    }

    /// @brief Aborts the connections of all streams.
    void reset_streams()
    {
        while (!runs_.empty()) {
            end_run(runs_.begin()->first, &net::responder::abort);
        }
    }

    /// @brief Deregisters from the gates, refuses new requests and finishes the
    ///     queued and running ones.
    /// @param when_idle called once, on the event loop, when no run is left
    void drain(std::function<void()> when_idle)
    {
        draining_ = true;
        announcer_.deregister();
        when_idle_ = std::move(when_idle);
        check_idle();
    }

    /// Called when `exit_after_tokens` is reached; must end the process.
    /// Without it the fault has no effect.
    std::function<void()> on_exit_fault;

private:
    struct run
    {
        std::string request;
        std::uint64_t attempt = 0;
        std::uint64_t seed = 0;
        unsigned priority = 0;
        std::size_t index = 0;
        std::size_t length = 0;
        bool reached_limit = false;
        bool active = false;
        std::string prompt;
        duration prefill{};
        std::optional<token_source> source;
        std::shared_ptr<net::responder> responder;
        std::unique_ptr<net::timer> timer;
    };

    static void respond(const std::shared_ptr<net::responder>& responder,
                        unsigned status, const json& body)
    {
        responder->respond(status, {{"content-type", "application/json"}},
                           body.dump());
    }

    static void refuse(const std::shared_ptr<net::responder>& responder,
                       unsigned status, std::string_view type,
                       std::string_view message)
    {
        respond(responder, status,
                {{"error", {{"type", type}, {"message", message}}}});
    }

    void handle(const net::http_request& request,
                const std::shared_ptr<net::responder>& responder)
    {
        constexpr std::string_view completions = "/v1/completions";
        if (frozen_) {
            deferred_.emplace_back(request, responder);
            return;
        }
        if (request.method == "POST" && request.path == completions) {
            complete(request, responder);
            return;
        }
        if (request.method == "DELETE" &&
            request.path.starts_with("/v1/completions/")) {
            cancel(request.path.substr(completions.size() + 1), request.query);
            respond(responder, 200, json::object());
            return;
        }
        if (request.method == "POST" && request.path == "/v1/orders") {
            order(request, responder);
            return;
        }
        if (request.method == "GET" && request.path == "/healthz") {
            respond(responder, 200, describe(0));
            return;
        }
        refuse(responder, 404, "not_found", request.path);
    }

    void complete(const net::http_request& request,
                  const std::shared_ptr<net::responder>& responder)
    {
        const auto body = parse_json(request.body);
        if (!body || !body.value().is_object()) {
            refuse(responder, 400, "malformed_input", "not a JSON object");
            return;
        }
        if (settings_.faults.refuse || draining_) {
            refuse(responder, 503, "overloaded", "accepts no new requests");
            return;
        }
        const json& fields = body.value();
        try {
            add_run(fields, responder);
        } catch (const json::exception& problem) {
            refuse(responder, 400, "malformed_input", problem.what());
        }
    }

    void add_run(const json& fields,
                 const std::shared_ptr<net::responder>& responder)
    {
        const auto model = fields.at("model").get<std::string>();
        if (std::find(settings_.models.begin(), settings_.models.end(),
                      model) == settings_.models.end()) {
            refuse(responder, 404, "not_found", "model " + model);
            return;
        }
        const std::uint64_t id = next_run_++;
        run created;
        created.request = fields.at("request_id").get<std::string>();
        created.attempt = fields.value("attempt", std::uint64_t{1});
        created.priority = fields.value("priority", 0u);
        created.prompt = fields.at("prompt").get<std::string>();
        created.source.emplace(created.prompt);
        const auto resume =
            fields.value("resume_tokens", std::vector<std::string>{});
        std::size_t prompt_tokens = estimated_tokens(created.prompt);
        for (const auto& token : resume) {
            created.source->accept(token);
        }
        const auto max_tokens = fields.value("max_tokens", std::size_t{0});
        created.index = resume.size();
        created.length = answer_length(created.prompt, max_tokens);
        created.reached_limit = natural_length(created.prompt) > created.length;
        const std::size_t work = prompt_tokens + resume.size();
        const std::size_t cached =
            std::min(work, cached_bytes(created.prompt) / 4);
        totals_.prefill_tokens += work - cached;
        created.prefill =
            settings_.prefill_per_token * static_cast<long>(work - cached);
        const std::string seed_text = settings_.id + '/' + created.request +
                                      '/' + std::to_string(created.attempt) +
                                      '/' + std::to_string(id);
        created.seed =
            XXH3_64bits(seed_text.data(), seed_text.size()) & 0xffffffu;
        created.responder = responder;
        ++totals_.attempts;
        responder->begin_stream(200, {{"content-type", "text/event-stream"},
                                      {"cache-control", "no-store"}});
        runs_.emplace(id, std::move(created));
        queue_.push_back(id);
        responder->on_closed([this, id, guard = alive_](bool) {
            if (*guard && runs_.contains(id)) {
                ++totals_.cancelled;
                remove_run(id);
            }
        });
        schedule();
    }

    /// Starts queued runs while slots are free, the most urgent first.
    void schedule()
    {
        while (active_ < settings_.slots && !queue_.empty()) {
            const auto first = std::min_element(
                queue_.begin(), queue_.end(), [this](auto a, auto b) {
                    return runs_.at(a).priority < runs_.at(b).priority;
                });
            const std::uint64_t id = *first;
            queue_.erase(first);
            run& started = runs_.at(id);
            started.active = true;
            ++active_;
            started.timer =
                std::make_unique<net::timer>(loop_, [this, id] { step(id); });
            started.timer->start_once(started.prefill +
                                      settings_.token_interval);
        }
    }

    static bool is_multiple(std::uint64_t count, std::uint64_t period)
    {
        return period != 0 && count % period == 0;
    }

    void step(std::uint64_t id)
    {
        constexpr std::size_t output_limit = 64u << 10;
        run& current = runs_.at(id);
        const engine_faults& faults = settings_.faults;
        if (frozen_ || current.responder->buffered() > output_limit) {
            current.timer->start_once(std::max<duration>(
                settings_.token_interval, std::chrono::milliseconds(1)));
            return;
        }
        if (current.index >= current.length) {
            finish(id);
            return;
        }
        const std::string token = settings_.mode == token_mode::prefix
                                      ? current.source->next()
                                      : current.source->next(current.seed);
        ++totals_.tokens;
        if (!is_multiple(totals_.tokens, faults.skip_every_tokens)) {
            send_token(current, token);
        }
        if (is_multiple(totals_.tokens, faults.repeat_every_tokens)) {
            send_token(current, token);
        }
        current.source->accept(token);
        ++current.index;
        if (faults.exit_after_tokens != 0 &&
            totals_.tokens >= faults.exit_after_tokens && on_exit_fault) {
            on_exit_fault();
            return;
        }
        if (is_multiple(totals_.tokens, faults.freeze_every_tokens)) {
            freeze(true);
        }
        if (is_multiple(totals_.tokens, faults.reset_every_tokens)) {
            end_run(id, &net::responder::abort);
            return;
        }
        current.timer->start_once(settings_.token_interval);
    }

    static void send_token(const run& current, const std::string& token)
    {
        const json data = {{"index", current.index},
                           {"token", token},
                           {"attempt", current.attempt}};
        current.responder->write(
            fmt::format("id: {}\ndata: {}\n\n", current.index, data.dump()));
    }

    void finish(std::uint64_t id)
    {
        const run& current = runs_.at(id);
        store_prefix(current.prompt);
        if (!settings_.faults.omit_finish) {
            const json data = {
                {"finish_reason", current.reached_limit ? "length" : "stop"},
                {"count", current.index}};
            current.responder->write(
                fmt::format("data: {}\n\ndata: [DONE]\n\n", data.dump()));
        }
        end_run(id, &net::responder::finish);
    }

    void end_run(std::uint64_t id, void (net::responder::*close)())
    {
        const auto responder = runs_.at(id).responder;
        remove_run(id);
        (responder.get()->*close)();
    }

    void remove_run(std::uint64_t id)
    {
        // The run's timer may be on the call stack. It may be destroyed there:
        // libev allows that, and a copy of its function is running.
        const auto found = runs_.find(id);
        active_ -= found->second.active ? 1 : 0;
        runs_.erase(found);
        std::erase(queue_, id);
        if (!frozen_) {
            schedule();
        }
        check_idle();
    }

    void check_idle()
    {
        if (draining_ && runs_.empty() && when_idle_) {
            loop_.post(std::exchange(when_idle_, nullptr));
        }
    }

    void cancel(const std::string& request, const std::string& query)
    {
        constexpr std::string_view key = "attempt=";
        std::optional<std::uint64_t> attempt;
        if (const auto found = query.find(key); found != query.npos) {
            std::uint64_t number = 0;
            std::from_chars(query.data() + found + key.size(),
                            query.data() + query.size(), number);
            attempt = number;
        }
        std::vector<std::uint64_t> matching;
        for (const auto& [id, each] : runs_) {
            if (each.request == request &&
                (!attempt || *attempt == each.attempt)) {
                matching.push_back(id);
            }
        }
        for (const auto id : matching) {
            ++totals_.cancelled;
            end_run(id, &net::responder::abort);
        }
    }

    void order(const net::http_request& request,
               const std::shared_ptr<net::responder>& responder)
    {
        const auto body = parse_json(request.body);
        if (!body || !body.value().contains("fencing_token") ||
            !body.value().contains("order")) {
            refuse(responder, 400, "malformed_input", "order");
            return;
        }
        const json& fields = body.value();
        const json& fencing = fields["fencing_token"];
        const std::pair token{fencing.value("term", std::uint64_t{0}),
                              fencing.value("index", std::uint64_t{0})};
        if (token < newest_fencing_token_ && !settings_.ignore_fencing) {
            ++totals_.orders_refused;
            refuse(responder, 409, "superseded", "older fencing token");
            return;
        }
        newest_fencing_token_ = std::max(newest_fencing_token_, token);
        ++totals_.orders;
        const auto kind = fields["order"].get<std::string>();
        const auto model = fields.value("model", std::string{});
        std::erase(settings_.models, model);
        if (kind == "load") {
            settings_.models.push_back(model);
        }
        respond(responder, 200,
                {{"order", kind},
                 {"models", settings_.models},
                 {"fencing_token",
                  {{"term", newest_fencing_token_.first},
                   {"index", newest_fencing_token_.second}}}});
        announcer_.announce();
    }

    [[nodiscard]] std::size_t cached_bytes(std::string_view prompt) const
    {
        std::size_t blocks = 0;
        for (const auto hash : routing::prefix_hashes(prompt)) {
            if (!cached_.contains(hash)) {
                break;
            }
            ++blocks;
        }
        return blocks * routing::prefix_block_bytes;
    }

    void store_prefix(std::string_view prompt)
    {
        for (const auto hash : routing::prefix_hashes(prompt)) {
            if (!cached_.insert(hash).second) {
                continue;
            }
            cache_order_.push_back(hash);
            add_cache_event("add", hash);
        }
        while (cache_order_.size() > settings_.cache_blocks) {
            const std::uint64_t oldest = cache_order_.front();
            cache_order_.pop_front();
            cached_.erase(oldest);
            add_cache_event("remove", oldest);
        }
    }

    void add_cache_event(std::string_view op, std::uint64_t hash)
    {
        constexpr std::size_t max_events = 256;
        cache_events_.push_back({{"op", op}, {"prefix_hash", hash}});
        if (cache_events_.size() > max_events) {
            cache_events_.pop_front();
            ++first_cache_event_;
        }
    }

    [[nodiscard]] json describe(std::size_t) const
    {
        std::size_t outstanding = 0;
        for (const auto& [id, each] : runs_) {
            outstanding += each.length - each.index;
        }
        return {{"kind", "engine"},
                {"address", server_->bound_address().text()},
                {"failure_domain", settings_.failure_domain},
                {"models", settings_.models},
                {"slots", settings_.slots},
                {"running", active_},
                {"queued", queue_.size()},
                {"outstanding_tokens", outstanding},
                {"draining", draining_},
                {"cache_events",
                 {{"first_sequence", first_cache_event_},
                  {"events", cache_events_}}}};
    }

    net::event_loop& loop_;
    options settings_;
    net::http_client client_;
    announcer announcer_;
    std::map<std::uint64_t, run> runs_;
    std::list<std::uint64_t> queue_;
    std::vector<std::pair<net::http_request, std::shared_ptr<net::responder>>>
        deferred_;
    std::uint64_t next_run_ = 1;
    std::size_t active_ = 0;
    bool frozen_ = false;
    bool draining_ = false;
    std::function<void()> when_idle_;
    std::pair<std::uint64_t, std::uint64_t> newest_fencing_token_{};
    std::set<std::uint64_t> cached_;
    std::deque<std::uint64_t> cache_order_;
    std::deque<json> cache_events_;
    std::uint64_t first_cache_event_ = 1;
    counters totals_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<net::http_server> server_;

public:
    ~fake_engine() { *alive_ = false; }
    fake_engine(const fake_engine&) = delete;
    fake_engine& operator=(const fake_engine&) = delete;
};

} // namespace bamboogate::fakes

#endif
