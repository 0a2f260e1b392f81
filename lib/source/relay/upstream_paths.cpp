#include <bamboogate/relay/upstream_paths.hpp>

#include <algorithm>
#include <utility>

namespace bamboogate::relay {

void upstream_paths::use_gates(std::vector<net::address> near,
                               std::vector<net::address> far)
{
    near_ = std::move(near);
    far_ = std::move(far);
}

std::vector<net::network_path> upstream_paths::paths(const net::address& server,
                                                     time_point now)
{
    std::erase_if(failed_gates_, [&](const auto& each) {
        return now - each.second >= settings_.gate_backoff;
    });
    std::vector<net::network_path> out;
    const auto append = [&](const std::vector<net::address>& gates,
                            bool failed) {
        for (std::size_t i = 0; i < gates.size(); ++i) {
            const auto& gate = gates[(next_gate_ + i) % gates.size()];
            if (out.size() < settings_.gates_per_dial &&
                failed_gates_.contains(gate.text()) == failed) {
                out.push_back({.via = gate});
            }
        }
    };
    for (const bool failed : {false, true}) {
        append(near_, failed);
        append(far_, failed);
    }
    ++next_gate_;
    const bool detour = partitioned() || detours_.contains(server.text());
    out.insert(detour ? out.end() : out.begin(), net::network_path{});
    return out;
}

void upstream_paths::note(const net::address& server,
                          const net::network_path& path,
                          net::dial_result outcome, time_point now)
{
    const std::string name = server.text();
    const bool connected = outcome == net::dial_result::connected;
    std::erase_if(direct_failures_, [&](const auto& each) {
        return now - each.second > settings_.evidence_time;
    });
    if (path.direct() && connected) {
        if (partitioned()) {
            // The others are tried directly as well; whatever is still lost is
            // found again.
            detours_.clear();
        }
        detours_.erase(name);
        direct_failures_.erase(name);
        lost_since_success_.clear();
        return;
    }
    if (path.direct()) {
        direct_failures_[name] = now;
        hangs_ = outcome == net::dial_result::silent;
        const auto found = detours_.find(name);
        if (found != detours_.end()) {
            found->second.confirmed = true;
            lost_since_success_.insert(name);
        }
        return;
    }
    if (!connected) {
        failed_gates_[path.via->text()] = now;
        return;
    }
    if (direct_failures_.contains(name)) {
        detours_.try_emplace(name, detour{.server = server});
    }
}

void upstream_paths::forget(const net::address& server)
{
    const std::string name = server.text();
    direct_failures_.erase(name);
    detours_.erase(name);
    lost_since_success_.erase(name);
}

bool upstream_paths::needs_confirmation() const
{
    return std::any_of(detours_.begin(), detours_.end(),
                       [](const auto& each) { return !each.second.confirmed; });
}

std::optional<net::address> upstream_paths::next_check()
{
    if (detours_.empty()) {
        return std::nullopt;
    }
    auto next =
        std::find_if(detours_.begin(), detours_.end(),
                     [](const auto& each) { return !each.second.confirmed; });
    if (next == detours_.end()) {
        next = detours_.upper_bound(last_checked_);
    }
    if (next == detours_.end()) {
        next = detours_.begin();
    }
    last_checked_ = next->first;
    return next->second.server;
}

} // namespace bamboogate::relay
