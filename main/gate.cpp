#include <bamboogate/config/settings.hpp>
#include <bamboogate/gate/gate.hpp>
#include <bamboogate/net/log_writer.hpp>

#include <fmt/format.h>

#include <csignal>

using namespace bamboogate;

int main(int argc, char** argv)
{
    const auto arguments = config::arguments_of(argc, argv);
    auto launched =
        config::load_gate_settings(arguments, config::process_environment());
    fmt::print("{}", launched.output);
    fmt::print(stderr, "{}", launched.diagnostics);
    if (!launched.settings) {
        return config::to_int(launched.code);
    }
    config::start_logging(*launched.settings, launched.unknown_variables);
    net::event_loop loop;
    const net::log_writer writes_log(loop);
    auto started = gate::gate::start(loop, *launched.settings);
    if (!started) {
        fmt::print(stderr, "bamboogate-gate: {}\n", started.error().detail);
        return config::to_int(config::exit_code::unavailable);
    }
    const auto stop = [&] { started.value()->drain([&] { loop.stop(); }); };
    loop.on_signal(SIGTERM, stop);
    loop.on_signal(SIGINT, stop);
    loop.run();
    return config::to_int(config::exit_code::ok);
}
