#ifndef BAMBOOGATE_TESTS_FAKES_ANNOUNCER_HPP
#define BAMBOOGATE_TESTS_FAKES_ANNOUNCER_HPP

#include <bamboogate/core/json.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http_client.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace bamboogate::fakes {

/// @brief Splits a comma-separated list; empty parts are skipped.
[[nodiscard]] inline std::vector<std::string>
split_list(const std::string& text)
{
    std::vector<std::string> out;
    std::istringstream input(text);
    for (std::string part; std::getline(input, part, ',');) {
        if (!part.empty()) {
            out.push_back(part);
        }
    }
    return out;
}

/// @brief An incarnation from the wall clock, so that it is larger after a
///     restart.
[[nodiscard]] inline std::uint64_t new_incarnation()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

/// Announces an upstream to the gates every second and deregisters it from
/// them. Failed requests are ignored; the next announcement repeats the
/// state.
class announcer
{
public:
    /// @param gates addresses `host:port`
    /// @param describe returns all fields but `id`, `incarnation` and
    ///     `sequence`; the argument is the index of the gate in `gates`
    announcer(net::event_loop& loop, net::http_client& client,
              std::vector<std::string> gates, std::string id,
              std::uint64_t incarnation,
              std::function<json(std::size_t)> describe)
        : client_(client), gates_(std::move(gates)), id_(std::move(id)),
          incarnation_(incarnation), describe_(std::move(describe)),
          timer_(loop, [this] { announce(); })
    {}

    void start()
    {
        announce();
        timer_.start_periodic(std::chrono::seconds(1));
    }

    void stop() { timer_.stop(); }

    void announce()
    {
        ++sequence_;
        for (std::size_t i = 0; i < gates_.size(); ++i) {
            json body = describe_(i);
            body["id"] = id_;
            body["incarnation"] = incarnation_;
            body["sequence"] = sequence_;
            send("POST", "http://" + gates_[i] + "/v1/upstreams", body.dump());
        }
    }

    void deregister()
    {
        stop();
        for (const auto& gate : gates_) {
            send("DELETE",
                 "http://" + gate + "/v1/upstreams/" + id_ +
                     "?incarnation=" + std::to_string(incarnation_),
                 {});
        }
    }

private:
    void send(std::string method, std::string url, std::string body)
    {
        client_.start_detached(
            {.method = std::move(method),
             .url = std::move(url),
             .headers = {{"content-type", "application/json"}},
             .body = std::move(body),
             .total_timeout = std::chrono::seconds(1)},
            {});
    }

    net::http_client& client_;
    std::vector<std::string> gates_;
    std::string id_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    std::function<json(std::size_t)> describe_;
    net::timer timer_;
};

} // namespace bamboogate::fakes

#endif
