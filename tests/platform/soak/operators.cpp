#include "operators.hpp"

#include <bamboogate/core/json.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace bamboogate::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration response_timeout = 1s; ///< then another replica is tried
constexpr unsigned invalid_share = 8; ///< one in this many changes is invalid

} // namespace

struct operators::call
{
    bool read = false;
    bool invalid = false;
    unsigned version = 0; ///< version sent, or acknowledged before a read
    bool answered = false;
    time_point begun;
    time_point sent;
    unsigned status = 0;
    std::string body;
    std::unique_ptr<net::http1_client::exchange> exchange;
};

operators::operators(net::event_loop& loop, violations& problems, unsigned seed,
                     options settings)
    : loop_(loop), violations_(problems), random_(seed),
      settings_(std::move(settings)), client_(loop, {})
{}

operators::~operators() = default;

std::size_t operators::open_changes() const
{
    return static_cast<std::size_t>(
        std::count_if(calls_.begin(), calls_.end(), [](const auto& each) {
            return !each->read && !each->answered;
        }));
}

void operators::change()
{
    auto request = std::make_shared<call>();
    version_ += 1 + static_cast<unsigned>(random_() % 3);
    request->version = version_;
    request->invalid = random_() % invalid_share == 0;
    request->begun = loop_.now();
    calls_.push_back(request);
    send(request);
}

void operators::read()
{
    auto request = std::make_shared<call>();
    request->read = true;
    request->version = acknowledged_;
    calls_.push_back(request);
    send(request);
}

void operators::send(const std::shared_ptr<call>& request)
{
    request->sent = loop_.now();
    request->status = 0;
    request->body.clear();
    // A truncated document is an invalid configuration.
    std::string document =
        request->read ? "" : settings_.document(request->version);
    if (request->invalid) {
        document.resize(document.size() / 2);
    }
    call* raw = request.get();
    request->exchange = client_.start(
        settings_
            .control_addresses[random_() % settings_.control_addresses.size()],
        {.method = request->read ? "GET" : "POST",
         .target = request->read ? "/Config.Read" : "/Config.Replace",
         .headers = {{"Host", "control"}, {"Content-Type", "application/json"}},
         .body = document,
         .fresh_connection = true},
        {.on_head =
             [raw](const net::http1_response_head& head) {
                 raw->status = head.status;
                 return true;
             },
         .on_body = [raw](std::string_view part) { raw->body += part; },
         .on_complete =
             [this, raw] {
                 const bool definite = raw->status == 200 || raw->status == 400;
                 raw->answered = definite || raw->read;
                 if (raw->read && raw->status == 200) {
                     check_read(*raw);
                 } else if (!raw->read && definite &&
                            (raw->status == 400) != raw->invalid) {
                     violations_.add("only valid configurations are accepted",
                                     fmt::format("version {} status {}",
                                                 raw->version, raw->status));
                 } else if (!raw->read && raw->status == 200) {
                     on_acknowledged(*raw);
                 }
             },
         .on_failure = [](const net::http1_failure&) {}});
}

void operators::on_acknowledged(const call& request)
{
    const duration taken = loop_.now() - request.begun;
    if (taken > settings_.acknowledgement_limit) {
        violations_.add("changes are acknowledged in time",
                        fmt::format("version {} after {:.0f} ms",
                                    request.version, to_milliseconds(taken)));
    }
    acknowledged_ = std::max(acknowledged_, request.version);
    if (settings_.on_acknowledged) {
        settings_.on_acknowledged(request.version);
    }
}

void operators::check_read(const call& request)
{
    ++reads_;
    const auto document = parse_json(request.body);
    if (!document || !document.value().contains("version")) {
        violations_.add("reads are complete", request.body.substr(0, 80));
        return;
    }
    const auto version = document.value().at("version").get<unsigned>();
    if (version < request.version) {
        violations_.add(
            "no read is older than an acknowledged version",
            fmt::format("read {}, acknowledged {}", version, request.version));
    }
    if (version > 0 &&
        document.value() != json::parse(settings_.document(version))) {
        violations_.add("reads are complete",
                        fmt::format("version {} has other content", version));
    }
    newest_read_ = std::max(newest_read_, version);
}

void operators::step()
{
    const time_point now = loop_.now();
    std::erase_if(calls_, [](const auto& each) { return each->answered; });
    for (const auto& each : std::vector(calls_)) {
        if (now - each->sent > response_timeout) {
            if (each->read) {
                each->answered = true;
            } else {
                send(each);
            }
        }
    }
}

} // namespace bamboogate::tests
