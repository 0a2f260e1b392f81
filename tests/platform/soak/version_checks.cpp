#include "version_checks.hpp"

#include <fmt/format.h>

namespace bamboogate::tests {

std::string key_of_version(unsigned version)
{
    return fmt::format("version-{}", version);
}

struct version_checks::check
{
    bool ended = false;
    std::unique_ptr<net::http1_client::exchange> exchange;
};

version_checks::version_checks(net::event_loop& loop, violations& problems,
                               options settings)
    : loop_(loop), violations_(problems), settings_(std::move(settings)),
      client_(loop, {})
{}

version_checks::~version_checks() = default;

void version_checks::acknowledged(unsigned version)
{
    due_.emplace_back(loop_.now() + settings_.limit, version);
}

void version_checks::step()
{
    std::erase_if(checks_, [](const auto& each) { return each->ended; });
    while (!due_.empty() && due_.front().first <= loop_.now()) {
        const unsigned version = due_.front().second;
        due_.pop_front();
        for (const auto& gate : settings_.gates) {
            checks_.push_back(std::make_unique<check>());
            check* raw = checks_.back().get();
            raw->exchange = client_.start(
                gate,
                {.method = "GET",
                 .target = settings_.path,
                 .headers = {{"Host", settings_.host},
                             {"X-Attempt-Id",
                              fmt::format("check-{}-{}", version, gate.text())},
                             {"Authorization",
                              "Bearer " + key_of_version(version)}},
                 .body = {},
                 .fresh_connection = true},
                {.on_head =
                     [this, version,
                      gate](const net::http1_response_head& head) {
                         if (head.status == 401) {
                             violations_.add(
                                 "acknowledged versions are in force in time",
                                 fmt::format("version {} at {}", version,
                                             gate.text()));
                         } else {
                             ++confirmed_;
                         }
                         return true;
                     },
                 .on_body = [](std::string_view) {},
                 .on_complete = [raw] { raw->ended = true; },
                 .on_failure =
                     [raw](const net::http1_failure&) { raw->ended = true; }});
        }
    }
}

} // namespace bamboogate::tests
