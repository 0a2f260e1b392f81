#include <bamboogate/operations/log_trace.hpp>

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace bamboogate;
using namespace bamboogate::operations;

namespace {

/// Logs of a gate and of the leader, in files.
struct log_files
{
    std::filesystem::path folder = std::filesystem::temp_directory_path() /
                                   ("log-trace-" + std::to_string(::getpid()));
    std::vector<std::string> names;

    log_files() { std::filesystem::create_directories(folder); }
    ~log_files() { std::filesystem::remove_all(folder); }

    void add(const std::string& name, std::string_view text)
    {
        names.push_back((folder / name).string());
        std::ofstream(names.back()) << text;
    }
};

std::string at(std::string_view second, std::string_view rest)
{
    return "2026-12-04T12:00:" + std::string(second) + "Z " +
           std::string(rest) + "\n";
}

} // namespace

// Guards against values that are cut at a space or an equals sign, and against
// prefixes of log collectors that hide a line.
TEST_CASE("log_line_with_quoted_value_is_parsed_completely")
{
    const auto line = parse_log_line(
        "  7.5 vm-1 2026-12-04T12:00:01.250Z gate-1 warning E1032 "
        "relay_attempt_failed request=a1 reason=\"no route = none\" "
        "after_ms=3");
    REQUIRE(line);
    CHECK(line->time == "2026-12-04T12:00:01.250Z");
    CHECK(line->process == "gate-1");
    CHECK(line->event == "relay_attempt_failed");
    CHECK(line->field("reason") == "no route = none");
    CHECK(line->field("after_ms") == "3");
    CHECK_FALSE(parse_log_line("terminate called without an exception"));
    CHECK_FALSE(parse_log_line(""));
}

// Guards against searching by request id alone, which misses why an upstream
// failed and what the leader and the other processes did.
TEST_CASE_FIXTURE(log_files, "trace_request_joins_processes_and_upstreams")
{
    add("gate.log",
        at("01.100", "gate-1 info E1031 relay_attempt_started request=a1 "
                     "upstream=e1") +
            at("01.900", "gate-1 warning E1032 relay_attempt_failed "
                         "request=a1 upstream=e1 cause=reset") +
            at("01.500", "gate-1 info E1031 relay_attempt_started "
                         "request=other upstream=e1") +
            at("02.000", "gate-1 info E1033 relay_request_ended request=a1"));
    add("leader.log",
        at("01.050", "c1 info E1023 stream_placed request=a1 engine=e1 "
                     "prompt=p") +
            at("01.400", "c1 warning E1022 upstream_suspended upstream=e1") +
            at("01.600", "c1 warning E1022 upstream_suspended upstream=e9") +
            at("09.000", "c1 warning E1022 upstream_suspended upstream=e1") +
            at("08.000", "c1 info E1023 stream_placed request=a2 engine=e3 "
                         "prompt=p"));
    const auto traced = trace_request("a1", names);
    REQUIRE(traced);
    const std::string& text = traced.value();
    const auto position_of = [&](const char* pattern) {
        return text.find(pattern);
    };
    CHECK(position_of("stream_placed") < position_of("relay_attempt_started"));
    CHECK(position_of("upstream_suspended upstream=e1") <
          position_of("relay_attempt_failed"));
    CHECK(position_of("upstream=e9") == std::string::npos);
    CHECK(position_of("request=other") == std::string::npos);
    CHECK(position_of("12:00:09") == std::string::npos);
    CHECK(position_of("same prompt: request=a2") != std::string::npos);
}

// Guards against an empty trace that looks like a result.
TEST_CASE_FIXTURE(log_files, "trace_request_unknown_id_or_file_is_an_error")
{
    add("gate.log", at("01.000", "gate-1 info E1000 relay_process_started"));
    CHECK(trace_request("a1", names).error().code == errc::not_found);
    CHECK(trace_request("a1", {"/nonexistent/log"}).error().code ==
          errc::not_found);
}
