#include <bamboogate/config/registry.hpp>
#include <bamboogate/config/settings.hpp>

#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>

using namespace bamboogate;
using namespace bamboogate::config;

namespace {

constexpr std::string_view good_secret = "0123456789abcdef0123";

/// Arguments of a program that starts, as name to value.
using flags = std::map<std::string, std::string>;

flags gate_flags()
{
    return {{"node-id", "g1"},
            {"failure-domain", "douz"},
            {"link-address", "127.0.0.1:7001"},
            {"http-address", "127.0.0.1:8001"},
            {"gates", "g1=127.0.0.1:7001,g2=127.0.0.1:7002"},
            {"control-replicas", "c1=127.0.0.1:7101,c2=127.0.0.1:7102"}};
}

flags control_flags()
{
    return {{"node-id", "c1"},
            {"failure-domain", "douz"},
            {"link-address", "127.0.0.1:7101"},
            {"operator-address", "127.0.0.1:8101"},
            {"data-folder", "/tmp/bamboogate-absent-folder"}};
}

std::vector<std::string> arguments(const flags& from)
{
    std::vector<std::string> out;
    for (const auto& [name, value] : from) {
        out.push_back("--" + name);
        out.push_back(value);
    }
    return out;
}

environment with_secret()
{
    return {{"BAMBOOGATE_SECRET", std::string(good_secret)}};
}

/// A file that is removed at the end of the test.
class temporary_file
{
public:
    explicit temporary_file(std::string_view content)
    {
        char name[] = "/tmp/bamboogate-test-XXXXXX";
        const int descriptor = ::mkstemp(name);
        REQUIRE(descriptor >= 0);
        ::close(descriptor);
        path_ = name;
        std::ofstream(path_) << content;
    }
    ~temporary_file() { std::filesystem::remove(path_); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    [[nodiscard]] const std::string& path() const { return path_; }

private:
    std::string path_;
};

template <typename Launch>
bool names_fault(const Launch& launched, std::string_view name)
{
    return std::any_of(
        launched.faults.begin(), launched.faults.end(),
        [&](const setting_fault& fault) { return fault.name == name; });
}

} // namespace

// Guards against a gate that starts with settings other than those given.
TEST_CASE("launch_gate_complete_flags_gives_typed_settings")
{
    auto given = gate_flags();
    given["silence-min"] = "150ms";
    given["buddy"] = "off";
    const auto launched = load_gate_settings(arguments(given), with_secret());
    INFO(launched.diagnostics);
    REQUIRE(launched.settings);
    const auto& settings = *launched.settings;
    CHECK(settings.node == node_id("g1"));
    CHECK(settings.failure_domain == failure_domain_id("douz"));
    CHECK(settings.http_address.port == 8001);
    REQUIRE(settings.gates.size() == 1);
    CHECK(settings.gates[0].node == node_id("g2"));
    CHECK(settings.control_replicas.size() == 2);
    CHECK(settings.silence_min == std::chrono::milliseconds(150));
    CHECK(settings.silence_max == std::chrono::seconds(2));
    CHECK_FALSE(settings.buddy);
    CHECK(settings.stale == stale_policy::refuse);
    CHECK(settings.shared_secret.reveal() == good_secret);
}

TEST_CASE("launch_control_complete_flags_gives_typed_settings")
{
    auto given = control_flags();
    given["peers"] = "c1=127.0.0.1:7101,c2=127.0.0.1:7102";
    given["election-timeout"] = "1s";
    const auto launched =
        load_control_settings(arguments(given), with_secret());
    INFO(launched.diagnostics);
    REQUIRE(launched.settings);
    CHECK(launched.settings->peers.size() == 1);
    CHECK(launched.settings->election_timeout == std::chrono::seconds(1));
    CHECK(launched.settings->data_folder == "/tmp/bamboogate-absent-folder");
    CHECK_FALSE(launched.settings->bootstrap_operator_key);
}

// Guards against an environment value that silently overrides a flag.
TEST_CASE("launch_gate_flag_and_variable_given_flag_wins")
{
    auto variables = with_secret();
    variables["BAMBOOGATE_NODE_ID"] = "from-variable";
    variables["BAMBOOGATE_LOG_LEVEL"] = "debug";
    const auto launched =
        load_gate_settings(arguments(gate_flags()), variables);
    REQUIRE(launched.settings);
    CHECK(launched.settings->node == node_id("g1"));
    CHECK(launched.settings->log_level == observability::severity::debug);
}

TEST_CASE("launch_gate_assignment_form_is_accepted")
{
    auto given = gate_flags();
    given.erase("node-id");
    auto list = arguments(given);
    list.emplace_back("--node-id=g9");
    const auto launched = load_gate_settings(list, with_secret());
    REQUIRE(launched.settings);
    CHECK(launched.settings->node == node_id("g9"));
}

// Guards against a bad value that is accepted or a fault without its name.
TEST_CASE("launch_gate_bad_value_names_the_setting")
{
    struct fault_case
    {
        std::string_view name;
        std::string_view value;
    };
    constexpr fault_case cases[] = {
        {"node-id", "two words"},
        {"node-id", ""},
        {"failure-domain", "a/b"},
        {"link-address", "localhost:1"},
        {"link-address", "127.0.0.1"},
        {"link-address", "127.0.0.1:70000"},
        {"http-address", "127.0.0.1:7001"},
        {"gates", "g2=127.0.0.1:0"},
        {"gates", "g2=127.0.0.1:7002,g2=127.0.0.1:7003"},
        {"gates", "g2=127.0.0.1:7002,g3=127.0.0.1:7002"},
        {"gates", "127.0.0.1:7002"},
        {"gates", "g2=127.0.0.1:7002,"},
        {"control-replicas", "g2=127.0.0.1:7102"},
        {"control-replicas", "c1=127.0.0.1:7002"},
        {"secret-file", "/nonexistent/file"},
        {"secret-file", "/tmp"},
        {"upstream-key-file", "/nonexistent/file"},
        {"log-level", "loud"},
        {"stale-policy", "guess"},
        {"drain-limit", "10"},
        {"drain-limit", "-1s"},
        {"drain-limit", "99999999999999999999h"},
        {"drain-limit", "25h"},
        {"buddy", "maybe"},
        {"silence-min", "1ms"},
        {"silence-max", "100ms"},
        {"body-limit", "12"},
        {"body-limit", "1e6"},
        {"max-connections", "0"},
        {"max-connections", "70000"},
    };
    for (const auto& one : cases) {
        const auto name = one.name;
        const auto value = one.value;
        CAPTURE(name);
        CAPTURE(value);
        auto given = gate_flags();
        given[std::string(name)] = value;
        const auto launched =
            load_gate_settings(arguments(given), with_secret());
        CHECK_FALSE(launched.settings);
        CHECK(launched.code == exit_code::config);
        CHECK(names_fault(launched, name));
        CHECK(launched.diagnostics.find(std::string(name)) !=
              std::string::npos);
    }
}

TEST_CASE("launch_control_bad_value_names_the_setting")
{
    constexpr std::pair<std::string_view, std::string_view> cases[] = {
        {"operator-address", "127.0.0.1:7101"},
        {"peers", "c2"},
        {"data-folder", "/dev/null"},
        {"bootstrap-operator-key-file", "/nonexistent/file"},
        {"election-timeout", "1ms"},
        {"snapshot-interval", "1"},
    };
    for (const auto& one : cases) {
        const auto name = one.first;
        const auto value = one.second;
        CAPTURE(name);
        auto given = control_flags();
        given[std::string(name)] = value;
        const auto launched =
            load_control_settings(arguments(given), with_secret());
        CHECK_FALSE(launched.settings);
        CHECK(launched.code == exit_code::config);
        CHECK(names_fault(launched, name));
    }
}

// Guards against a start that reports one fault at a time.
TEST_CASE("launch_gate_several_faults_lists_every_one")
{
    const std::vector<std::string> list = {"--log-level", "loud", "--buddy",
                                           "maybe"};
    const auto launched = load_gate_settings(list, {});
    CHECK(launched.code == exit_code::config);
    for (const auto* name :
         {"node-id", "failure-domain", "link-address", "http-address",
          "control-replicas", "log-level", "buddy", "secret-file"}) {
        CAPTURE(name);
        CHECK(names_fault(launched, name));
    }
    CHECK(launched.diagnostics.find("\"loud\"") != std::string::npos);
    CHECK(launched.diagnostics.find("debug, info") != std::string::npos);
}

// Guards against a secret in the output of a failed start.
TEST_CASE("launch_gate_short_secret_is_refused_and_not_shown")
{
    const auto launched = load_gate_settings(
        arguments(gate_flags()), {{"BAMBOOGATE_SECRET", "hunter2"}});
    CHECK(launched.code == exit_code::config);
    CHECK(names_fault(launched, "secret"));
    CHECK(launched.diagnostics.find("hunter2") == std::string::npos);
}

TEST_CASE("launch_gate_secret_on_command_line_is_a_usage_error_and_not_shown")
{
    for (const auto& extra : std::vector<std::vector<std::string>>{
             {"--secret", "hunter2hunter2hunter2"},
             {"--secret=hunter2hunter2hunter2"}}) {
        auto list = arguments(gate_flags());
        list.insert(list.end(), extra.begin(), extra.end());
        const auto launched = load_gate_settings(list, {});
        CHECK(launched.code == exit_code::usage);
        CHECK(launched.diagnostics.find("--secret") != std::string::npos);
        CHECK(launched.diagnostics.find("hunter2") == std::string::npos);
    }
}

TEST_CASE("launch_gate_secret_file_wins_over_variable_and_is_trimmed")
{
    const temporary_file file("  file-secret-0123456789\n");
    auto given = gate_flags();
    given["secret-file"] = file.path();
    const auto launched = load_gate_settings(arguments(given), with_secret());
    REQUIRE(launched.settings);
    CHECK(launched.settings->shared_secret.reveal() ==
          "file-secret-0123456789");
}

TEST_CASE("launch_gate_secret_file_too_short_or_too_large_is_refused")
{
    for (const auto& content :
         {std::string(" \n"), std::string("short"), std::string(5000, 'a')}) {
        const temporary_file file(content);
        auto given = gate_flags();
        given["secret-file"] = file.path();
        const auto launched = load_gate_settings(arguments(given), {});
        CHECK(launched.code == exit_code::config);
        CHECK(names_fault(launched, "secret-file"));
    }
}

TEST_CASE("launch_gate_unreadable_command_line_gives_usage_error")
{
    for (const auto& list : std::vector<std::vector<std::string>>{
             {"--no-such-setting", "1"},
             {"stray"},
             {"--node-id"},
             {"--node-id", "a", "--node-id", "b"}}) {
        const auto launched = load_gate_settings(list, with_secret());
        CHECK_FALSE(launched.settings);
        CHECK(launched.code == exit_code::usage);
        CHECK_FALSE(launched.diagnostics.empty());
    }
}

// Guards against a --check that starts the process or misses faults.
TEST_CASE("launch_gate_check_reports_and_does_not_start")
{
    auto list = arguments(gate_flags());
    list.emplace_back("--check");
    const auto good = load_gate_settings(list, with_secret());
    CHECK_FALSE(good.settings);
    CHECK(good.code == exit_code::ok);
    const auto bad = load_gate_settings(list, {});
    CHECK_FALSE(bad.settings);
    CHECK(bad.code == exit_code::config);
}

TEST_CASE("launch_gate_help_lists_every_setting")
{
    const auto launched =
        load_gate_settings(std::vector<std::string>{"--help"}, {});
    CHECK(launched.code == exit_code::ok);
    for (const auto& one : gate_registry()) {
        CAPTURE(one.name);
        const auto shown = one.source == setting_source::environment_only
                               ? environment_name(one)
                               : "--" + std::string(one.name);
        CHECK(launched.output.find(shown) != std::string::npos);
    }
}

TEST_CASE("launch_control_version_names_program")
{
    const auto launched =
        load_control_settings(std::vector<std::string>{"--version"}, {});
    CHECK(launched.code == exit_code::ok);
    CHECK(launched.output.starts_with("bamboogate-control "));
}

// Guards against a misspelt variable that is silently without effect.
TEST_CASE("launch_gate_unknown_variable_is_reported")
{
    auto variables = with_secret();
    variables["BAMBOOGATE_LOGLEVEL"] = "debug";
    variables["BAMBOOGATE_DATA_FOLDER"] = "/tmp";
    const auto launched =
        load_gate_settings(arguments(gate_flags()), variables);
    REQUIRE(launched.settings);
    CHECK(launched.unknown_variables ==
          std::vector<std::string>{"BAMBOOGATE_LOGLEVEL"});
}

// Guards against a default that the program itself would refuse.
TEST_CASE("registries_every_default_is_allowed_and_no_name_repeats")
{
    for (const auto registry :
         {gate_registry(), control_registry(), ctl_registry()}) {
        std::vector<std::string_view> names;
        for (const auto& one : registry) {
            CAPTURE(one.name);
            if (!one.default_value.empty()) {
                CHECK(check_value(one, one.default_value));
            }
            CHECK(std::find(names.begin(), names.end(), one.name) ==
                  names.end());
            names.push_back(one.name);
        }
    }
}
