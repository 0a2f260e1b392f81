#ifndef BAMBOOGATE_TESTS_E2E_SUPPORT_DEPLOYMENT_HPP
#define BAMBOOGATE_TESTS_E2E_SUPPORT_DEPLOYMENT_HPP

#include <bamboogate/core/json.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http_client.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/child_process.hpp"
#include "support/fault_proxy.hpp"
#include "support/reserved_ports.hpp"

namespace bamboogate::tests {

/// An event stream as received by its caller.
struct event_stream
{
    std::string resume_token;       ///< token to resume the stream with
    std::string preset;             ///< in force when the answer started
    std::vector<std::string> texts; ///< token texts in order
    std::vector<std::uint64_t> indices;
    std::vector<time_point> arrivals;
    bool complete = false; ///< `[DONE]` arrived
    json finish;           ///< document with the finish reason
    json failure;          ///< the data of an error event
    unsigned status = 0;
    std::string body; ///< of a response that is not a stream
    bool ended = false;

    std::unique_ptr<net::http_transfer> transfer;
    std::string unread; ///< received bytes of an incomplete event
};

/// A complete system on loopback: control replicas, gates, fake engines and
/// fake services. All processes are started by this object and end with it. Its
/// functions run `loop` while they wait. Logs and data are in `folder`, which
/// is removed at destruction unless KEEP_TEST_FOLDER is set.
class deployment
{
public:
    struct options
    {
        unsigned replicas = 3;
        unsigned gates = 3;
        unsigned engines = 2;
        unsigned services = 1;
        unsigned slots = 16;
        double token_interval_ms = 5;
        std::string engine_mode = "prefix";
        /// Routes the links of gate 0 through fault proxies.
        bool proxy_gate_zero = false;
        std::vector<std::string> gate_flags;
        std::vector<std::string> service_flags;
        /// For modifying the declarations before they are applied; `start`
        /// does not call it.
        std::function<void(json&)> adjust_declarations;
    };

    explicit deployment(options settings);
    ~deployment();

    net::event_loop loop;
    net::http_client client{loop};

    std::vector<child_process> replicas;
    std::vector<child_process> gates;
    std::vector<child_process> engines;
    std::vector<child_process> services;

    /// Links of gate 0, by peer; empty without `proxy_gate_zero`.
    std::vector<std::unique_ptr<fault_proxy>> gate_proxies;
    std::vector<std::unique_ptr<fault_proxy>> control_proxies;

    /// @brief Starts all processes and applies the declarations.
    /// @return false if the system is not ready in time; `problem` says why
    bool start();
    std::string problem;

    void start_replica(unsigned index);
    void start_gate(unsigned index);
    void start_engine(unsigned index);
    void start_service(unsigned index);

    [[nodiscard]] std::string gate_url(unsigned index) const;
    [[nodiscard]] std::string replica_url(unsigned index) const;
    [[nodiscard]] std::string service_url(unsigned index) const;
    [[nodiscard]] std::string engine_url(unsigned index) const;

    /// @brief Sends a request and waits up to 30 s for its complete response.
    ///     Status 0 if there was none.
    net::http_client::response fetch(net::http_client::request request);

    /// @brief Sends an operator's change to every replica in turn until the
    ///     leader responds; a missing `operation_id` or `based_on` is added.
    /// @return the leader's response, or the last one received within the time
    ///     limit
    net::http_client::response
    submit_change(const std::string& path, json body,
                  duration limit = std::chrono::seconds(5));

    /// @brief The operators' status as reported by the leader, or by another
    ///     replica if none leads. An empty object if no replica responds.
    json status();

    /// @brief Starts a generation with a streamed response. The stream is read
    ///     while `loop` runs.
    std::unique_ptr<event_stream>
    generate(unsigned gate, const std::string& prompt,
             unsigned max_tokens = 4096,
             const std::string& service_class = "brief");

    /// @brief Resumes a generation at a gate, after the last index received by
    ///     `earlier`.
    std::unique_ptr<event_stream> resume(unsigned gate,
                                         const event_stream& earlier);

    /// @brief Sends a booking with an idempotency key.
    net::http_client::response book(unsigned gate, const std::string& key,
                                    const std::string& body,
                                    duration limit = std::chrono::seconds(10));

    /// @brief How often a fake service ran a body; 0 if it does not respond.
    unsigned runs_of(const std::string& body, unsigned service = 0);

    /// @brief Index of the first replica that reports itself as leader.
    std::optional<unsigned> leader();

    /// @brief Runs the event loop for a time.
    void run_for(duration time);

    /// @brief Waits until the gate is ready.
    /// @return false if the time limit was exceeded first
    bool wait_ready(unsigned gate, duration limit = std::chrono::seconds(10));

    /// @brief The declarations that `start` applies.
    [[nodiscard]] static json declarations();
    [[nodiscard]] std::filesystem::path folder() const { return folder_; }
    [[nodiscard]] const options& settings() const { return settings_; }

    static constexpr const char* client_key = "client-key-for-tests-only";
    static constexpr const char* operator_key = "operator-key-for-tests-only";

private:
    std::unique_ptr<event_stream>
    open_stream(net::http_client::request request);
    static void read_events(event_stream& stream, std::string_view bytes);
    [[nodiscard]] std::filesystem::path log_of(const std::string& name) const;
    [[nodiscard]] std::string announce_list() const;
    [[nodiscard]] std::string peer_list(char prefix, unsigned first_port,
                                        unsigned count, unsigned gate);
    void open_proxies();

    options settings_;
    std::filesystem::path folder_;
    reserved_ports ports_;
};

} // namespace bamboogate::tests

#endif
