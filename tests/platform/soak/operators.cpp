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
    time_point sent;
    unsigned status = 0;
    std::string body;
    std::unique_ptr<net::http1_client::exchange> exchange;
};

operators::operators(net::event_loop& loop, violations& problems, unsigned seed,
                     options settings)
    : loop_(loop), problems_(problems), random_(seed),
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
    auto next = std::make_shared<call>();
    version_ += 1 + static_cast<unsigned>(random_() % 3);
    next->version = version_;
    next->invalid = random_() % invalid_share == 0;
    calls_.push_back(next);
    send(next);
}

void operators::read()
{
    auto next = std::make_shared<call>();
    next->read = true;
    next->version = acknowledged_;
    calls_.push_back(next);
    send(next);
}

void operators::send(const std::shared_ptr<call>& which)
{
    which->sent = loop_.now();
    which->status = 0;
    which->body.clear();
    // A truncated document is an invalid configuration.
    std::string document =
        which->read ? "" : settings_.document(which->version);
    if (which->invalid) {
        document.resize(document.size() / 2);
    }
    call* raw = which.get();
    which->exchange = client_.start(
        settings_.control[random_() % settings_.control.size()],
        {.method = which->read ? "GET" : "POST",
         .target = which->read ? "/Config.Read" : "/Config.Replace",
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
                     problems_.add("only valid configurations are accepted",
                                   fmt::format("version {} status {}",
                                               raw->version, raw->status));
                 } else if (!raw->read && raw->status == 200) {
                     acknowledged_ = std::max(acknowledged_, raw->version);
                 }
             },
         .on_failure = [](const net::http1_failure&) {}});
}

void operators::check_read(const call& which)
{
    ++reads_;
    const auto document = parse_json(which.body);
    if (!document || !document.value().contains("version")) {
        problems_.add("reads are complete", which.body.substr(0, 80));
        return;
    }
    const auto version = document.value().at("version").get<unsigned>();
    if (version < which.version) {
        problems_.add(
            "no read is older than an acknowledged version",
            fmt::format("read {}, acknowledged {}", version, which.version));
    }
    if (version > 0 &&
        document.value() != json::parse(settings_.document(version))) {
        problems_.add("reads are complete",
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
