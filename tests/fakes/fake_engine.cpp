#include "fakes/fake_engine.hpp"

#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace bamboogate;
using namespace bamboogate::fakes;

namespace {

duration from_milliseconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(value));
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine command("Fake engine for tests", ' ', "1");
    const auto text = [&command](const char* name, const char* meaning,
                                 const char* fallback) {
        return std::make_unique<TCLAP::ValueArg<std::string>>(
            "", name, meaning, false, fallback, "text", command);
    };
    const auto number = [&command](const char* name, const char* meaning,
                                   double fallback) {
        return std::make_unique<TCLAP::ValueArg<double>>(
            "", name, meaning, false, fallback, "number", command);
    };
    const auto address = text("address", "listen address", "127.0.0.1:0");
    const auto gates = text("announce", "gates, comma list", "");
    const auto id = text("id", "upstream id", "engine-1");
    const auto domain = text("failure-domain", "failure domain", "south");
    const auto models = text("models", "comma list", "model-1");
    const auto mode = text("mode", "prefix or sampled", "prefix");
    const auto slots = number("slots", "runs at a time", 8);
    const auto interval = number("token-interval-ms", "per token", 20);
    const auto prefill = number("prefill-us-per-token", "prefill time", 0);
    const auto exit_after =
        number("exit-after-tokens", "fault: exit without notice", 0);
    const auto freeze_after = number("freeze-after-tokens", "fault: hang", 0);
    const auto reset_every =
        number("reset-every-tokens", "fault: abort that stream", 0);
    const auto repeat_every =
        number("repeat-every-tokens", "fault: send a token twice", 0);
    const auto skip_every =
        number("skip-every-tokens", "fault: omit a token", 0);
    TCLAP::SwitchArg ignore_fencing(
        "", "ignore-fencing", "accept orders with any fencing token", command);
    TCLAP::SwitchArg omit_finish(
        "", "omit-finish", "fault: end streams without finish reason", command);
    TCLAP::SwitchArg refuse("", "refuse", "fault: respond 503 to every request",
                            command);
    command.parse(argc, argv);

    const auto count = [](const auto& argument) {
        return static_cast<std::uint64_t>(argument->getValue());
    };
    const auto listen_address = net::parse_address(address->getValue());
    if (!listen_address) {
        std::fprintf(stderr, "%s\n", listen_address.error().detail.c_str());
        return EXIT_FAILURE;
    }
    net::event_loop loop;
    fake_engine engine(
        loop,
        {.id = id->getValue(),
         .failure_domain = domain->getValue(),
         .models = split_list(models->getValue()),
         .slots = static_cast<unsigned>(count(slots)),
         .token_interval = from_milliseconds(interval->getValue()),
         .prefill_per_token = from_milliseconds(prefill->getValue() / 1000),
         .mode = mode->getValue() == "sampled" ? token_mode::sampled
                                               : token_mode::prefix,
         .ignore_fencing = ignore_fencing.getValue(),
         .gates = split_list(gates->getValue()),
         .faults = {.exit_after_tokens = count(exit_after),
                    .freeze_every_tokens = count(freeze_after),
                    .reset_every_tokens = count(reset_every),
                    .repeat_every_tokens = count(repeat_every),
                    .skip_every_tokens = count(skip_every),
                    .omit_finish = omit_finish.getValue(),
                    .refuse = refuse.getValue()}});
    engine.on_exit_fault = [] { std::_Exit(EXIT_FAILURE); };
    const auto started = engine.start(listen_address.value());
    if (!started) {
        std::fprintf(stderr, "%s\n", started.error().detail.c_str());
        return EXIT_FAILURE;
    }
    std::printf("listening %s\n", engine.address().text().c_str());
    std::fflush(stdout);
    loop.on_signal(SIGTERM, [&] { engine.drain([&loop] { loop.stop(); }); });
    loop.run();
    // Time to send the deregistration and the last responses: drain calls back
    // when no run is left, which may be before their bytes are sent.
    net::timer end(loop, [&loop] { loop.stop(); });
    end.start_once(std::chrono::milliseconds(100));
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    return run(argc, argv);
}
