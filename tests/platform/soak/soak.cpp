#include "soak.hpp"

#include <bamboogate/core/json.hpp>

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace bamboogate::tests {

using namespace std::chrono_literals;

namespace {

constexpr std::array domains{"d1", "d2", "d3"};
/// `recoverS` of the bounds: time after the last fault until all requests are
/// served.
constexpr duration recovery_time = 12s;
constexpr duration verification_time = 3s;
/// Memory limit of the smallest specified gate machine.
constexpr double gate_memory_kib = 110.0 * 1024;
/// Time within which back ends announce themselves.
constexpr duration announcement_time = 1s;
constexpr duration readiness_interval = 1s;
constexpr duration change_interval = 300ms;
constexpr duration quick_change_interval = 60ms; ///< without faults
/// Short enough to reach a replica right after a pause, when it could return
/// stale data.
constexpr duration read_interval = 40ms;
constexpr unsigned max_missed_checks = 2;
/// Lets streams run for longer than an engine listens before it leaves.
constexpr unsigned outlasting_events = 400;

/// Returns a loopback address.
/// @param row 0 for replicas, 1 for gates
std::string loopback_ip(unsigned row, std::size_t index)
{
    // Each process uses its own loopback network, so that soaks can run in
    // parallel.
    const auto process = static_cast<unsigned>(::getpid());
    return fmt::format("127.{}.{}.{}", 64 + process % 128,
                       row + process / 128 % 120 * 2, index + 1);
}

} // namespace

soak::soak(options settings)
    : settings_(std::move(settings)), random_(settings_.seed),
      statement_random_(settings_.seed + 4), disk_random_(settings_.seed + 5),
      reload_random_(settings_.seed + 6), load_random_(settings_.seed + 1),
      departure_random_(settings_.seed + 7),
      take_up_random_(settings_.seed + 9), restart_random_(settings_.seed + 11),
      broken_answer_random_(settings_.seed + 12),
      core_random_(settings_.seed + 13), client_(loop_, {}),
      take_ups_(
          violations_, settings_.seed + 10,
          {.disturbed_at =
               [this](const std::string& gate) { return disturbed_at(gate); },
           .serving =
               [this](std::string_view version) { return serving(version); },
           .false_names = settings_.take_ups ? 8U : 0U})
{
    std::filesystem::create_directories(settings_.folder);
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < 3; ++i) {
        seeds.push_back(loopback_ip(0, i));
    }
    const auto make = [&](bool gate, std::size_t i) {
        return std::make_unique<machine>(
            machine::options{
                .name = fmt::format("{}-{}", gate ? "gate" : "replica", i),
                .gate = gate,
                .failure_domain = domains.at(i % domains.size()),
                .ip = loopback_ip(gate ? 1 : 0, i),
                .seeds = seeds,
                .programs = settings_.programs,
                .folder = settings_.folder,
                .retry_slack = settings_.retry_slack},
            violations_);
    };
    std::vector<net::address> control_addresses;
    const bool replaces = settings_.core_replacement || settings_.core_losses;
    const std::size_t replicas =
        settings_.replicas + (replaces ? settings_.replicas : 0);
    for (std::size_t i = 0; i < replicas; ++i) {
        replicas_.push_back(make(false, i));
        control_addresses.push_back(replicas_.back()->control_address());
    }
    for (std::size_t i = 0; i < settings_.gates; ++i) {
        auto program = make(true, i);
        auto proxy =
            std::make_unique<fault_proxy>(loop_, program->caller_address());
        gates_.push_back({std::move(program), std::move(proxy)});
    }
    const std::size_t started = settings_.engines + settings_.services;
    // Each engine that is replaced needs a spare one while it leaves.
    const std::size_t spare = settings_.replacements ? settings_.engines : 0;
    std::vector<backend*> engines;
    for (std::size_t i = 0; i < started + spare; ++i) {
        const bool engine = i < settings_.engines || i >= started;
        backends_.push_back(std::make_unique<backend>(
            loop_, client_, ledger_, statements_,
            backend::options{
                .service = engine ? "gen" : "book",
                .failure_domain = domains.at(i % domains.size()),
                .streams = engine,
                .slots = engine ? 16U : 6U,
                .control_addresses = control_addresses,
                .version = version_name(1 + static_cast<unsigned>(i) %
                                                settings_.versions),
                .on_arrival = [this, i](const std::string& attempt) {
                    check_departure(*backends_[i], attempt);
                }}));
        if (engine) {
            engines.push_back(backends_.back().get());
        }
    }
    replacements_ =
        std::make_unique<replacements>(loop_, violations_, settings_.seed + 8,
                                       std::move(engines), settings_.versions);
    for (auto& each : backends_) {
        each->set_peers(backends_);
    }
    callers_ = std::make_unique<caller_pool>(
        loop_, ledger_, statements_, take_ups_, violations_, settings_.seed + 2,
        caller_pool::options{
            .choose_gate =
                [this](const net::address* avoided) {
                    return choose_gate(avoided);
                },
            .host = "h.example",
            .keys = settings_.take_ups ? std::vector<std::string>{"k1", "k2"}
                                       : std::vector<std::string>{"k1"},
            .paths = {{request_kind::stream, "/gen/"},
                      {request_kind::booking, "/book/"},
                      {request_kind::lookup, "/look/"}},
            .max_events = settings_.replacements
                              ? outlasting_events
                              : caller_pool::options{}.max_events});
    if (!disturbs() && !settings_.core_replacement) {
        std::vector<net::address> gates;
        for (const auto& each : gates_) {
            gates.push_back(each.program->caller_address());
        }
        versions_ = std::make_unique<version_checks>(
            loop_, violations_,
            version_checks::options{.gates = std::move(gates),
                                    .host = "h.example",
                                    .path = "/look/x"});
    }
    operators::options operator_options{
        .control_addresses = control_addresses,
        .document = [this](unsigned v) { return document(v); }};
    if (versions_) {
        // `ackMs`; with faults the control plane may be down for longer.
        operator_options.acknowledgement_limit = 4s;
        operator_options.on_acknowledged = [this](unsigned version) {
            if (!accounts_removed_) {
                versions_->acknowledged(version);
            }
        };
    }
    operators_ = std::make_unique<operators>(
        loop_, violations_, settings_.seed + 3, std::move(operator_options));
}

soak::~soak() = default;

std::string soak::document(unsigned version) const
{
    const auto plain = [](const char* name, const char* path,
                          const char* kind) {
        return json{
            {"name", name},      {"host", "h.example"}, {"pathPrefix", path},
            {"routeType", kind}, {"timeoutMs", 1500},   {"goalMs", 300},
            {"priority", 2},     {"service", "book"},   {"maxAttempts", 3}};
    };
    json out{{"version", version},
             {"limits",
              {{"maxHeaderBytes", 8192},
               {"maxBodyBytes", 2 * upload_bytes},
               {"headerTimeoutMs", 2500},
               {"idleTimeoutMs", version % 2 == 0 ? 12000 : 4000}}},
             {"tenants", {{{"name", "acc"}, {"apiKeys", {"k1"}}}}}};
    if (accounts_removed_) {
        out["tenants"] = json::array();
    } else if (settings_.take_ups) {
        out["tenants"].push_back({{"name", "acc2"}, {"apiKeys", {"k2"}}});
    }
    // More versions than there are changes within the time of a check.
    constexpr unsigned kept_keys = 200;
    for (unsigned v = version > kept_keys ? version - kept_keys : 1;
         v <= version && !accounts_removed_; ++v) {
        out["tenants"][0]["apiKeys"].push_back(key_of_version(v));
    }
    out["routes"] = {
        {{"name", "gen"},
         {"host", "h.example"},
         {"pathPrefix", "/gen/"},
         {"routeType", "streaming"},
         {"service", "gen"},
         {"priority", 2},
         {"timeoutMs", 25000},
         {"goalMs", 10000},
         {"maxAttempts", 5},
         {"resumable", true},
         {"gapGoalMs", 700}},
        plain("book", "/book/", "non_idempotent"),
        plain("look", "/look/", "idempotent"),
        plain("extra", fmt::format("/v{}/", version).c_str(), "idempotent")};
    // Routes that come and go, and with them the size of the document.
    constexpr unsigned most_routes = 40;
    for (unsigned i = 0; i < version % most_routes; ++i) {
        out["routes"].push_back(plain(fmt::format("more{}", i).c_str(),
                                      fmt::format("/more{}/", i).c_str(),
                                      "idempotent"));
    }
    out["services"] = {
        {{"name", "gen"},
         {"healthPath", "/healthz"},
         {"maxConns", 150},
         {"engine",
          {{"slots", 16},
           {"kvCapacity", 88000},
           {"stride", tokens_per_event},
           {"backups", true},
           {"moves", true},
           {"handleTtlS", 4.0}}}},
        {{"name", "book"}, {"healthPath", "/healthz"}, {"maxConns", 96}}};
    return out.dump();
}

void soak::schedule(duration delay, std::function<void()> function)
{
    schedule_.push_back({loop_.now() + delay, std::move(function)});
}

duration soak::draw_time(std::mt19937& random, duration least, duration most)
{
    return std::uniform_int_distribution<duration::rep>(least.count(),
                                                        most.count())(random) *
           duration(1);
}

duration soak::random_time(duration least, duration most)
{
    return draw_time(random_, least, most);
}

std::size_t soak::replicas_down() const
{
    return static_cast<std::size_t>(
        std::count_if(replicas_.begin(), replicas_.end(), [](const auto& each) {
            return !each->up() || each->refuses_writes();
        }));
}

void soak::poll_readiness()
{
    for (auto& each : gates_) {
        each.missed_checks = each.answered_ready ? 0 : each.missed_checks + 1;
        each.answered_ready = false;
        gate_entry* entry = &each;
        each.readiness =
            client_.start(each.program->readiness_address(),
                          {.method = "GET",
                           .target = "/readyz",
                           .headers = {{"Host", "ready"}},
                           .body = {},
                           .fresh_connection = true},
                          {.on_head =
                               [entry](const net::http1_response_head& head) {
                                   entry->answered_ready = head.status == 200;
                                   return true;
                               },
                           .on_body = [](std::string_view) {},
                           .on_complete = [] {},
                           .on_failure = [](const net::http1_failure&) {}});
    }
}

net::address soak::choose_gate(const net::address* avoided)
{
    std::vector<const gate_entry*> ready;
    for (const auto& each : gates_) {
        if (each.missed_checks < max_missed_checks) {
            ready.push_back(&each);
        }
    }
    if (avoided && ready.size() > 1) {
        std::erase_if(ready, [&](const gate_entry* each) {
            return each->proxy->address() == *avoided;
        });
    }
    if (ready.empty()) {
        return gates_[load_random_() % gates_.size()].proxy->address();
    }
    return ready[load_random_() % ready.size()]->proxy->address();
}

void soak::tick()
{
    const time_point now = loop_.now();
    for (std::size_t i = 0; i < schedule_.size();) {
        if (schedule_[i].due > now) {
            ++i;
            continue;
        }
        const auto function = std::move(schedule_[i].function);
        schedule_.erase(schedule_.begin() + static_cast<std::ptrdiff_t>(i));
        function();
    }
    for (auto& each : replicas_) {
        each->check(now);
    }
    for (auto& each : gates_) {
        each.program->check(now);
        if (!each.program->up()) {
            statements_.gate_down(each.proxy->address().text());
        }
        peak_gate_kib_ = std::max(peak_gate_kib_, each.program->resident_kib());
    }
    if (now >= next_poll_) {
        next_poll_ = now + readiness_interval;
        poll_readiness();
    }
    if (sends_requests_ && now >= next_request_) {
        next_request_ = now + duration(1s) / static_cast<int>(
                                                 settings_.requests_per_second);
        const auto draw = load_random_() % 10;
        callers_->start(draw < 4   ? request_kind::stream
                        : draw < 7 ? request_kind::booking
                                   : request_kind::lookup,
                        must_succeed_);
    }
    if (presses_ && now >= next_pressing_stream_) {
        next_pressing_stream_ =
            now + duration(1s) / static_cast<int>(settings_.pressing_streams);
        callers_->start(request_kind::stream, false);
    }
    if (sends_changes_ && now >= next_change_) {
        const bool quick = versions_ && !settings_.pressing_streams;
        next_change_ = now + (quick ? quick_change_interval : change_interval);
        constexpr std::size_t max_open_changes = 8;
        if (operators_->open_changes() < max_open_changes) {
            operators_->change();
        }
    }
    if (sends_changes_ && now >= next_read_) {
        next_read_ = now + read_interval;
        operators_->read();
    }
    if (injects_faults_ && now >= next_fault_) {
        next_fault_ = now + random_time(150ms, 900ms);
        inject();
    }
    if (injects_faults_ && now >= next_statement_) {
        constexpr duration statement_interval = 900ms;
        next_statement_ = now + statement_interval;
        inject_statement();
    }
    if (injects_faults_ && now >= next_broken_answer_) {
        constexpr duration broken_answer_interval = 1300ms;
        next_broken_answer_ = now + broken_answer_interval;
        inject_broken_answer();
    }
    if (reloads_ && now >= next_reload_) {
        constexpr duration reload_interval = 400ms;
        next_reload_ = now + reload_interval;
        reload_one();
    }
    if (injects_faults_ && now >= next_disk_refusal_) {
        constexpr duration refusal_interval = 1500ms;
        next_disk_refusal_ = now + refusal_interval;
        inject_disk_refusal();
    }
    if (replaces_engines_) {
        replacements_->step();
    }
    if (breaks_processes_ && settings_.take_ups) {
        step_take_ups(now);
    }
    if (settings_.restarts && breaks_processes_ && now >= next_leave_) {
        constexpr duration leave_interval = 6500ms;
        next_leave_ = now + leave_interval;
        leave_before_a_restart();
    }
    if (settings_.core_replacement && breaks_processes_) {
        step_core_replacement();
    }
    callers_->step();
    operators_->step();
    if (versions_) {
        versions_->step();
    }
}

void soak::run_for(duration time)
{
    net::timer ticks(loop_, [this] { tick(); });
    ticks.start_periodic(5ms);
    net::timer end(loop_, [this] { loop_.stop(); });
    end.start_once(time);
    loop_.run();
}

void soak::start_all()
{
    for (std::size_t i = 0; i < settings_.replicas; ++i) {
        replicas_[i]->start(true);
    }
    for (auto& each : gates_) {
        each.program->start(true);
    }
    for (std::size_t i = 0; i < settings_.engines + settings_.services; ++i) {
        backends_[i]->start(false);
    }
    sends_changes_ = true;
    // The specification starts traffic 10 s after the machines; the soak waits
    // for the gates.
    constexpr duration start_limit = 10s;
    const time_point limit = loop_.now() + start_limit;
    const auto all_ready = [this] {
        return std::all_of(gates_.begin(), gates_.end(), [](const auto& each) {
            return each.missed_checks < max_missed_checks;
        });
    };
    while (!all_ready() && loop_.now() < limit) {
        run_for(100ms);
    }
    if (!all_ready()) {
        violations_.add("recovery", "gates are not ready 10 s after the start");
    }
}

bool soak::run()
{
    start_all();
    run_for(announcement_time);
    sends_requests_ = true;
    run_for(1s);
    reloads_ = true;
    replaces_engines_ = settings_.replacements;
    injects_faults_ = settings_.faults;
    presses_ = settings_.pressing_streams > 0;
    must_succeed_ = !disturbs() && !presses_;
    breaks_processes_ = true;
    last_gate_kill_ = loop_.now();
    if (settings_.disk_writers > 0) {
        disk_load_ = std::make_unique<disk_load>(settings_.folder,
                                                 settings_.disk_writers);
    }
    if (settings_.core_losses) {
        lose_core_disks();
    } else {
        run_for(settings_.fault_time);
    }
    reloads_ = replaces_engines_ = breaks_processes_ = false;
    if (disk_load_) {
        disk_load_->stop();
    }
    if (disturbs()) {
        // Replaced replicas remain away.
        if (!settings_.core_losses) {
            end_faults();
        }
        run_for(recovery_time);
    } else if (std::exchange(presses_, false)) {
        run_for(recovery_time);
    }
    must_succeed_ = true;
    const unsigned acknowledged_before = operators_->acknowledged();
    run_for(verification_time);
    if (operators_->acknowledged() == acknowledged_before) {
        violations_.add("recovery", "no change is acknowledged");
    }
    sends_requests_ = must_succeed_ = sends_changes_ = false;
    // Covers the longest stream and the callers' retries.
    constexpr duration settle_limit = 26s;
    const time_point limit = loop_.now() + settle_limit;
    while ((callers_->running() > 0 || operators_->open_changes() > 0) &&
           loop_.now() < limit) {
        run_for(100ms);
    }
    if (versions_ && operators_->open_changes() > 0) {
        violations_.add("changes are acknowledged in time", "some never were");
    }
    const unsigned acknowledged = operators_->acknowledged();
    // A read may go to a replica that has been replaced.
    const bool replaced = settings_.core_replacement || settings_.core_losses;
    const int reads = replaced ? 20 : 1;
    for (int i = 0; i < reads && operators_->newest_read() < acknowledged;
         ++i) {
        operators_->read();
        run_for(200ms);
    }
    run_for(800ms);
    if (operators_->newest_read() < acknowledged) {
        violations_.add("acknowledged changes are kept",
                        fmt::format("read {}, acknowledged {}",
                                    operators_->newest_read(), acknowledged));
    }
    remove_accounts();
    callers_->check_runs();
    if (settings_.take_ups) {
        take_ups_.check_share();
    }
    if (peak_gate_kib_ > gate_memory_kib) {
        violations_.add("memory",
                        fmt::format("a gate used {} KiB", peak_gate_kib_));
    }
    report();
    return violations_.none();
}

void soak::report() const
{
    std::string line = fmt::format(
        "seed {}: acknowledged version {}, {} reads, gate memory {:.0f} KiB",
        settings_.seed, operators_->acknowledged(), operators_->reads(),
        peak_gate_kib_);
    for (const auto& [kind, counts] : callers_->counts()) {
        line += fmt::format("; {} {} of {} served, {} refused, {} failed",
                            name_of(kind), counts.served, counts.started,
                            counts.refused, counts.failed);
    }
    line += fmt::format(
        "; {} leaves passed on, {} pauses stated, {} settings read again",
        statements_.leaves(), statements_.pauses(), reloads_sent_);
    line += take_ups_.summary();
    if (settings_.replacements) {
        line += fmt::format(
            "; {} engines replaced, {} runs left by gates at their end",
            replacements_->replaced(), replacements_->runs_left());
    }
    if (settings_.restarts) {
        line +=
            fmt::format("; {} restarts after departures, {} attempts "
                        "checked against them",
                        restarts_after_departures_, attempts_after_departures_);
    }
    if (settings_.faults) {
        unsigned heads = 0;
        unsigned uploads = 0;
        unsigned streams = 0;
        for (const auto& each : backends_) {
            heads += each->broken_heads();
            uploads += each->proxy().uploads_cut();
            streams += each->filled_streams();
        }
        line +=
            fmt::format("; {} heads broken, {} uploads cut, {} streams filled",
                        heads, uploads, streams);
    }
    if (settings_.core_replacement) {
        line += fmt::format("; {} replicas replaced", replaced_replicas_);
    }
    if (settings_.core_losses) {
        line += fmt::format("; {} disks lost at once", disks_lost_);
    }
    if (disk_load_) {
        line += disk_load_->summary();
    }
    if (versions_) {
        line += fmt::format("; {} checks of versions in force",
                            versions_->confirmed());
    }
    violations_.print("result", line);
    for (const auto& [guarantee, count] : violations_.counts()) {
        violations_.print("violated", fmt::format("{} x {}", count, guarantee));
    }
}

} // namespace bamboogate::tests
