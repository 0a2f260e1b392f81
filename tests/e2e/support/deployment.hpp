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

namespace bamboogate::tests {

/// An event stream as its caller receives it.
struct event_stream
{
    std::string token;              ///< the name to come back with
    std::string preset;             ///< under which the answer started
    std::vector<std::string> texts; ///< token texts in order
    std::vector<std::uint64_t> indices;
    std::vector<time_point> arrivals;
    bool complete = false; ///< `[DONE]` arrived
    json finish;           ///< the document with the finish reason
    json failure;          ///< the data of an error event
    unsigned status = 0;
    std::string body; ///< of an answer that is not a stream
    bool ended = false;

    std::unique_ptr<net::http_transfer> transfer;
    std::string unread;
};

/// A whole system on loopback: control replicas, gates, stand-ins. Every
/// process is started by this object and ended with it.
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
        /// Leads the links of gate 0 through proxies of the test.
        bool proxy_gate_zero = false;
        std::vector<std::string> gate_flags;
        std::vector<std::string> service_flags;
        /// Changes the declarations before they are applied. Optional.
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

    /// @brief Starts everything and applies the declarations.
    /// @return false when it is not ready in time; `problem` says why
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

    /// @brief One request, whole. Status 0 when there was no answer.
    net::http_client::response fetch(net::http_client::request what);

    /// @brief An operator's change at whichever replica leads.
    net::http_client::response change(const std::string& path, json body,
                                      duration limit = std::chrono::seconds(5));

    /// @brief The operator's view of any replica that leads.
    json status();

    /// @brief Starts a generation with a stream answer.
    std::unique_ptr<event_stream>
    generate(unsigned gate, const std::string& prompt,
             unsigned max_tokens = 4096,
             const std::string& service_class = "brief");

    /// @brief Comes back for a generation at a gate.
    std::unique_ptr<event_stream> resume(unsigned gate,
                                         const event_stream& earlier);

    /// @brief Sends a booking with an idempotency key.
    net::http_client::response book(unsigned gate, const std::string& key,
                                    const std::string& body,
                                    duration limit = std::chrono::seconds(10));

    /// @brief How often the service stand-in ran a body.
    unsigned runs_of(const std::string& body, unsigned service = 0);

    /// @brief The replica that leads, if one answers.
    std::optional<unsigned> leader();

    /// @brief Runs the loop for a time.
    void run_for(duration time);

    /// @brief Waits until the gate is ready.
    bool wait_ready(unsigned gate, duration limit = std::chrono::seconds(10));

    [[nodiscard]] static json declarations();
    [[nodiscard]] std::filesystem::path folder() const { return folder_; }
    [[nodiscard]] const options& settings() const { return settings_; }

    static constexpr const char* client_key = "client-key-for-tests-only";
    static constexpr const char* operator_key = "operator-key-for-tests-only";

private:
    std::unique_ptr<event_stream> open_stream(net::http_client::request what);
    static void read_events(event_stream& into, std::string_view bytes);
    [[nodiscard]] std::filesystem::path log_of(const std::string& name) const;
    [[nodiscard]] std::string announce_list() const;
    [[nodiscard]] std::string peer_list(char prefix, unsigned first_port,
                                        unsigned count, unsigned gate);
    void open_proxies();

    options settings_;
    std::filesystem::path folder_;
    std::vector<unsigned> ports_;
};

} // namespace bamboogate::tests

#endif
