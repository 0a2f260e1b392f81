#include "e2e/support/deployment.hpp"

#include <bamboogate/core/secret.hpp>
#include <bamboogate/net/address.hpp>

#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "support/loop_runner.hpp"

namespace bamboogate::tests {

namespace {

using namespace std::chrono_literals;

const std::filesystem::path bin =
    std::filesystem::path(BAMBOOGATE_BINARY_DIR) / "bin";

// Ports of one deployment, by role. Each role has room for ten processes.
enum port_base : unsigned
{
    replica_link = 0,
    replica_http = 10,
    gate_link = 20,
    gate_http = 30,
    engine_http = 40,
    service_http = 50,
    port_count = 60,
};

void write_file(const std::filesystem::path& path, const std::string& text)
{
    std::ofstream(path) << text;
    std::filesystem::permissions(path, std::filesystem::perms::owner_read |
                                           std::filesystem::perms::owner_write);
}

std::string domain_of(unsigned index)
{
    static const char* const names[] = {"tataouine", "medenine", "douz"};
    return names[index % 3];
}

std::string local(unsigned port)
{
    return fmt::format("127.0.0.1:{}", port);
}

} // namespace

deployment::deployment(options settings)
    : settings_(std::move(settings)), ports_(port_count)
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "bamboogate-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    write_file(folder_ / "secret", "shared-secret-for-tests-only");
    write_file(folder_ / "operator", operator_key);
    replicas.resize(settings_.replicas);
    gates.resize(settings_.gates);
    engines.resize(settings_.engines);
    services.resize(settings_.services);
}

deployment::~deployment()
{
    for (auto* group : {&services, &engines, &gates, &replicas}) {
        group->clear();
    }
    if (std::getenv("KEEP_TEST_FOLDER") == nullptr) {
        std::filesystem::remove_all(folder_);
    }
}

std::filesystem::path deployment::log_of(const std::string& name) const
{
    return folder_ / (name + ".log");
}

void deployment::start_replica(unsigned index)
{
    std::string peers;
    for (unsigned i = 0; i < settings_.replicas; ++i) {
        if (i != index) {
            peers += fmt::format("{}c{}={}", peers.empty() ? "" : ",", i,
                                 local(ports_[replica_link + i]));
        }
    }
    const std::string name = fmt::format("c{}", index);
    std::vector<std::string> flags{"--node-id",
                                   name,
                                   "--failure-domain",
                                   domain_of(index),
                                   "--link-address",
                                   local(ports_[replica_link + index]),
                                   "--operator-address",
                                   local(ports_[replica_http + index]),
                                   "--data-folder",
                                   (folder_ / name).string(),
                                   "--secret-file",
                                   (folder_ / "secret").string(),
                                   "--bootstrap-operator-key-file",
                                   (folder_ / "operator").string()};
    if (!peers.empty()) {
        flags.insert(flags.end(), {"--peers", peers});
    }
    replicas[index] =
        child_process(bin / "bamboogate-control", flags, log_of(name));
}

std::string deployment::peer_list(char prefix, unsigned first_port,
                                  unsigned count, unsigned gate)
{
    const auto& proxies = prefix == 'g' ? gate_proxies : control_proxies;
    std::string out;
    for (unsigned i = 0; i < count; ++i) {
        if (prefix == 'g' && i == gate) {
            continue;
        }
        const bool proxied = gate == 0 && !proxies.empty();
        const std::string address = proxied ? proxies[i]->address().text()
                                            : local(ports_[first_port + i]);
        out += fmt::format("{}{}{}={}", out.empty() ? "" : ",", prefix, i,
                           address);
    }
    return out;
}

void deployment::open_proxies()
{
    const auto add = [this](auto& to, unsigned first_port, unsigned count) {
        for (unsigned i = 0; i < count; ++i) {
            to.push_back(std::make_unique<fault_proxy>(
                loop, net::address{"127.0.0.1", static_cast<std::uint16_t>(
                                                    ports_[first_port + i])}));
        }
    };
    add(gate_proxies, gate_link, settings_.gates);
    add(control_proxies, replica_link, settings_.replicas);
}

void deployment::start_gate(unsigned index)
{
    const std::string peers = peer_list('g', gate_link, settings_.gates, index);
    const std::string controls =
        peer_list('c', replica_link, settings_.replicas, index);
    const std::string name = fmt::format("g{}", index);
    std::vector<std::string> flags{
        "--node-id",          name,
        "--failure-domain",   domain_of(index),
        "--link-address",     local(ports_[gate_link + index]),
        "--http-address",     local(ports_[gate_http + index]),
        "--control-replicas", controls,
        "--secret-file",      (folder_ / "secret").string()};
    if (!peers.empty()) {
        flags.insert(flags.end(), {"--gates", peers});
    }
    flags.insert(flags.end(), settings_.gate_flags.begin(),
                 settings_.gate_flags.end());
    // scripts/verify-failures disables mechanisms by this variable.
    if (const char* extra = std::getenv("E2E_GATE_FLAGS")) {
        std::istringstream words(extra);
        for (std::string word; words >> word;) {
            flags.push_back(word);
        }
    }
    gates[index] = child_process(bin / "bamboogate-gate", flags, log_of(name));
}

std::string deployment::announce_list() const
{
    std::string out;
    for (unsigned i = 0; i < settings_.gates; ++i) {
        out += (i == 0 ? "" : ",") + local(ports_[gate_http + i]);
    }
    return out;
}

void deployment::start_engine(unsigned index)
{
    const std::string name = fmt::format("e{}", index);
    engines[index] = child_process(
        bin / "fake_engine",
        {"--address", local(ports_[engine_http + index]), "--announce",
         announce_list(), "--id", name, "--failure-domain", domain_of(index),
         "--models", "draft", "--slots", std::to_string(settings_.slots),
         "--token-interval-ms", fmt::format("{}", settings_.token_interval_ms),
         "--mode", settings_.engine_mode},
        log_of(name));
}

void deployment::start_service(unsigned index)
{
    const std::string name = fmt::format("s{}", index);
    std::vector<std::string> flags{"--address",
                                   local(ports_[service_http + index]),
                                   "--announce",
                                   announce_list(),
                                   "--id",
                                   name,
                                   "--service",
                                   "bookings",
                                   "--failure-domain",
                                   domain_of(index)};
    flags.insert(flags.end(), settings_.service_flags.begin(),
                 settings_.service_flags.end());
    services[index] = child_process(bin / "fake_service", flags, log_of(name));
}

bool deployment::start()
{
    if (settings_.proxy_gate_zero) {
        open_proxies();
    }
    for (unsigned i = 0; i < settings_.replicas; ++i) {
        start_replica(i);
    }
    for (unsigned i = 0; i < settings_.gates; ++i) {
        start_gate(i);
    }
    for (unsigned i = 0; i < settings_.engines; ++i) {
        start_engine(i);
    }
    for (unsigned i = 0; i < settings_.services; ++i) {
        start_service(i);
    }
    const auto applied = submit_change(
        "/v1/apply", {{"declarations", declarations()}, {"preset", "ordinary"}},
        10s);
    if (applied.status != 200) {
        problem = fmt::format("apply: {} {}", applied.status, applied.body);
        fmt::print(stderr, "deployment not started: {}\n", problem);
        return false;
    }
    for (unsigned i = 0; i < settings_.gates; ++i) {
        if (!wait_ready(i)) {
            problem = fmt::format("gate {} is not ready", i);
            fmt::print(stderr, "deployment not started: {}\n", problem);
            return false;
        }
    }
    // Every gate must know the upstreams before a test starts.
    run_until(
        loop, [] { return false; }, 1500ms);
    return true;
}

bool deployment::wait_ready(unsigned gate, duration limit)
{
    const time_point end = loop.now() + limit;
    while (loop.now() < end) {
        if (fetch({.url = gate_url(gate) + "/readyz", .total_timeout = 1s})
                .status == 200) {
            return true;
        }
        run_until(
            loop, [] { return false; }, 50ms);
    }
    return false;
}

std::string deployment::gate_url(unsigned index) const
{
    return "http://" + local(ports_[gate_http + index]);
}

std::string deployment::replica_url(unsigned index) const
{
    return "http://" + local(ports_[replica_http + index]);
}

std::string deployment::service_url(unsigned index) const
{
    return "http://" + local(ports_[service_http + index]);
}

std::string deployment::engine_url(unsigned index) const
{
    return "http://" + local(ports_[engine_http + index]);
}

net::http_client::response deployment::fetch(net::http_client::request request)
{
    std::optional<net::http_client::response> end;
    const auto transfer = client.start(
        std::move(request), {.on_headers = {},
                             .on_data = {},
                             .on_done = [&](net::http_client::outcome_type r) {
                                 end = r ? std::move(r).value()
                                         : net::http_client::response{};
                             }});
    run_until(
        loop, [&] { return end.has_value(); }, 30s);
    return end.value_or(net::http_client::response{});
}

net::http_client::response deployment::submit_change(const std::string& path,
                                                     json body, duration limit)
{
    static int next_operation = 0;
    if (!body.contains("operation_id")) {
        body["operation_id"] = fmt::format("test-{}", ++next_operation);
    }
    const bool needs_base = !body.contains("based_on");
    net::http_client::response last;
    const time_point end = loop.now() + limit;
    while (loop.now() < end) {
        if (needs_base) {
            body["based_on"] = status().value("revision", 0);
        }
        for (unsigned i = 0; i < settings_.replicas; ++i) {
            last = fetch({.method = "POST",
                          .url = replica_url(i) + path,
                          .headers = {{"authorization",
                                       std::string("Bearer ") + operator_key}},
                          .body = body.dump(),
                          .total_timeout = 3s});
            // 421 and 503: this replica is not the leader.
            if (last.status != 0 && last.status != 421 && last.status != 503) {
                return last;
            }
        }
        run_until(
            loop, [] { return false; }, 50ms);
    }
    return last;
}

json deployment::status()
{
    json fallback = json::object();
    for (unsigned i = 0; i < settings_.replicas; ++i) {
        const auto got =
            fetch({.url = replica_url(i) + "/v1/status",
                   .headers = {{"authorization",
                                std::string("Bearer ") + operator_key}},
                   .total_timeout = 1s});
        auto document = parse_json(got.body);
        if (got.status != 200 || !document) {
            continue;
        }
        fallback = document.value();
        if (fallback.value("leads", false)) {
            return fallback;
        }
    }
    return fallback;
}

std::unique_ptr<event_stream>
deployment::generate(unsigned gate, const std::string& prompt,
                     unsigned max_tokens, const std::string& service_class)
{
    const json body = {{"model", "draft"},
                       {"prompt", prompt},
                       {"max_tokens", max_tokens},
                       {"stream", true},
                       {"service_class", service_class}};
    return open_stream(
        {.method = "POST",
         .url = gate_url(gate) + "/v1/completions",
         .headers = {{"authorization", std::string("Bearer ") + client_key},
                     {"content-type", "application/json"}},
         .body = body.dump()});
}

std::unique_ptr<event_stream> deployment::resume(unsigned gate,
                                                 const event_stream& earlier)
{
    net::http_client::request request;
    request.url = gate_url(gate) + "/v1/completions/" + earlier.resume_token;
    request.headers.add("authorization", std::string("Bearer ") + client_key);
    if (!earlier.indices.empty()) {
        request.headers.add("last-event-id",
                            std::to_string(earlier.indices.back()));
    }
    return open_stream(std::move(request));
}

net::http_client::response deployment::book(unsigned gate,
                                            const std::string& key,
                                            const std::string& body,
                                            duration limit)
{
    return fetch(
        {.method = "POST",
         .url = gate_url(gate) + "/v1/services/bookings/book",
         .headers = {{"authorization", std::string("Bearer ") + client_key},
                     {"idempotency-key", key}},
         .body = body,
         .total_timeout = limit});
}

unsigned deployment::runs_of(const std::string& body, unsigned service)
{
    const auto counts =
        fetch({.url = service_url(service) + "/counts", .total_timeout = 2s});
    const json document = json::parse(counts.body, nullptr, false);
    return document.value("runs", json::object()).value(body, 0u);
}

std::optional<unsigned> deployment::leader()
{
    for (unsigned i = 0; i < settings_.replicas; ++i) {
        const auto got =
            fetch({.url = replica_url(i) + "/v1/status",
                   .headers = {{"authorization",
                                std::string("Bearer ") + operator_key}},
                   .total_timeout = 500ms});
        const json document = json::parse(got.body, nullptr, false);
        if (got.status == 200 && document.value("leads", false)) {
            return i;
        }
    }
    return std::nullopt;
}

void deployment::run_for(duration time)
{
    run_until(
        loop, [] { return false; }, time);
}

std::unique_ptr<event_stream>
deployment::open_stream(net::http_client::request request)
{
    auto stream = std::make_unique<event_stream>();
    auto* raw = stream.get();
    stream->transfer = client.start(
        std::move(request),
        {.on_headers =
             [raw](const net::http_client::response& head) {
                 raw->status = head.status;
                 raw->resume_token = std::string(
                     head.headers.find("x-request-id").value_or(""));
                 raw->preset =
                     std::string(head.headers.find("x-preset").value_or(""));
             },
         .on_data = [raw](std::string_view bytes) { read_events(*raw, bytes); },
         .on_done =
             [raw](const net::http_client::outcome_type&) {
                 raw->ended = true;
             }});
    return stream;
}

void deployment::read_events(event_stream& stream, std::string_view bytes)
{
    if (stream.status != 200) {
        stream.body.append(bytes);
        return;
    }
    stream.unread.append(bytes);
    for (auto end = stream.unread.find("\n\n"); end != std::string::npos;
         end = stream.unread.find("\n\n")) {
        const std::string event = stream.unread.substr(0, end);
        stream.unread.erase(0, end + 2);
        const auto data = event.find("data: ");
        if (data == std::string::npos) {
            continue;
        }
        const std::string payload = event.substr(data + 6);
        if (payload == "[DONE]") {
            stream.complete = true;
            continue;
        }
        const json document = json::parse(payload, nullptr, false);
        if (event.starts_with("event: error")) {
            stream.failure = document;
        } else if (event.starts_with("id: ")) {
            stream.indices.push_back(std::stoull(event.substr(4)));
            stream.texts.push_back(document["choices"][0]["text"]);
            stream.arrivals.push_back(monotonic_clock::now());
        } else {
            stream.finish = document;
        }
    }
}

json deployment::declarations()
{
    const json ranks = {{{"name", "urgent"},
                         {"priority", 0},
                         {"first_token_target_ms", 630},
                         {"max_queue_wait_ms", 5000}},
                        {{"name", "normal"},
                         {"priority", 1},
                         {"first_token_target_ms", 3000},
                         {"max_queue_wait_ms", 20000},
                         {"floor_share", 0.2},
                         {"preemptible", true}}};
    json presets = json::array();
    for (const char* id : {"ordinary", "peak", "maintenance"}) {
        presets.push_back({{"id", id},
                           {"ranks", ranks},
                           {"class_shares",
                            {{{"service_class", "manifest"}, {"share", 0.5}},
                             {{"service_class", "brief"}, {"share", 0.3}}}},
                           {"retry_budget", 0.5}});
    }
    return {{"presets", presets},
            {"service_classes",
             {{{"id", "manifest"}, {"rank", "urgent"}, {"models", {"draft"}}},
              {{"id", "brief"}, {"rank", "normal"}, {"models", {"draft"}}}}},
            {"client_accounts",
             {{{"id", "north"},
               {"key_sha256", to_hex(sha256(client_key))},
               {"service_classes", {"brief", "manifest"}},
               {"services", {"bookings"}}}}},
            {"services",
             {{{"id", "bookings"},
               {"idempotent_methods", {"GET"}},
               {"timeout_ms", 1000}}}},
            {"operators",
             {{{"id", "office-north"},
               {"key_sha256", to_hex(sha256(operator_key))}}}}};
}

} // namespace bamboogate::tests
