#include <bamboogate/net/http_server.hpp>

#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>

#include "fakes/announcer.hpp"

using namespace bamboogate;
using namespace bamboogate::fakes;

namespace {

struct service_options
{
    std::string service;
    std::string failure_domain;
    duration delay{};
    std::uint64_t drop_every = 0;   ///< breaks the connection after the run
    std::uint64_t silent_after = 0; ///< runs without answers from then on
};

/// A plain service: counts how often each body was run.
class service_stand_in
{
public:
    service_stand_in(net::event_loop& loop, service_options settings)
        : loop_(loop), settings_(std::move(settings))
    {}

    void handle(const net::http_request& request,
                const std::shared_ptr<net::responder>& answer)
    {
        if (request.method == "GET" && request.path == "/counts") {
            respond(answer, {{"runs", runs_}, {"total", total_}});
            return;
        }
        ++total_;
        const std::uint64_t count = ++runs_[request.body];
        if (settings_.silent_after != 0 && total_ > settings_.silent_after) {
            held_.push_back(answer);
            return;
        }
        if (settings_.drop_every != 0 && total_ % settings_.drop_every == 0) {
            answer->abort();
            return;
        }
        json body = {{"service", settings_.service},
                     {"path", request.path},
                     {"method", request.method},
                     {"runs", count}};
        if (settings_.delay == duration::zero()) {
            respond(answer, body);
            return;
        }
        auto wait = std::make_shared<std::unique_ptr<net::timer>>();
        *wait = std::make_unique<net::timer>(
            loop_, [this, wait, answer, body = std::move(body)] {
                respond(answer, body);
                loop_.post([wait] { wait->reset(); });
            });
        (*wait)->start_once(settings_.delay);
    }

private:
    static void respond(const std::shared_ptr<net::responder>& answer,
                        const json& body)
    {
        answer->respond(200, {{"content-type", "application/json"}},
                        body.dump());
    }

    net::event_loop& loop_;
    service_options settings_;
    std::map<std::string, std::uint64_t> runs_;
    std::uint64_t total_ = 0;
    std::vector<std::shared_ptr<net::responder>> held_;
};

int run(int argc, char** argv)
{
    TCLAP::CmdLine command("Stand-in for a plain service", ' ', "1");
    const auto text = [&command](const char* name, const char* meaning,
                                 const char* fallback) {
        return std::make_unique<TCLAP::ValueArg<std::string>>(
            "", name, meaning, false, fallback, "text", command);
    };
    const auto number = [&command](const char* name, const char* meaning) {
        return std::make_unique<TCLAP::ValueArg<std::uint64_t>>(
            "", name, meaning, false, 0, "number", command);
    };
    const auto address = text("address", "listen address", "127.0.0.1:0");
    const auto gates = text("announce", "gates, comma list", "");
    const auto id = text("id", "upstream id", "service-1");
    const auto service = text("service", "service id", "booking");
    const auto domain = text("failure-domain", "failure domain", "south");
    const auto delay = number("delay-ms", "time before each answer");
    const auto drop_every =
        number("drop-every", "fault: run, then break the connection");
    const auto silent_after =
        number("silent-after", "fault: no answers after this many runs");
    command.parse(argc, argv);

    const auto where = net::parse_address(address->getValue());
    if (!where) {
        std::fprintf(stderr, "%s\n", where.error().detail.c_str());
        return EXIT_FAILURE;
    }
    net::event_loop loop;
    service_stand_in stand_in(
        loop, {.service = service->getValue(),
               .failure_domain = domain->getValue(),
               .delay = std::chrono::milliseconds(delay->getValue()),
               .drop_every = drop_every->getValue(),
               .silent_after = silent_after->getValue()});
    net::http_server::options http;
    http.listen_address = where.value();
    http.daemons = 1;
    auto server = net::http_server::start(
        loop, http,
        [&stand_in](const net::http_request& request,
                    const std::shared_ptr<net::responder>& answer) {
            stand_in.handle(request, answer);
        });
    if (!server) {
        std::fprintf(stderr, "%s\n", server.error().detail.c_str());
        return EXIT_FAILURE;
    }
    const std::string bound = server.value()->bound_address().text();
    std::printf("listening %s\n", bound.c_str());
    std::fflush(stdout);
    net::http_client client(loop);
    announcer announce(loop, client, split_list(gates->getValue()),
                       id->getValue(), new_incarnation(), [&](std::size_t) {
                           return json{{"kind", "service"},
                                       {"service", service->getValue()},
                                       {"address", bound},
                                       {"failure_domain", domain->getValue()},
                                       {"draining", false}};
                       });
    announce.start();
    net::timer end(loop, [&loop] { loop.stop(); });
    loop.on_signal(SIGTERM, [&] {
        announce.leave();
        // Lets running answers and the leave reach their sockets.
        end.start_once(std::chrono::milliseconds(100 + delay->getValue()));
    });
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    return run(argc, argv);
}
