#include <bamboogate/relay/home_replica.hpp>

#include <algorithm>
#include <tuple>

namespace bamboogate::relay {

void home_replica::on_link_up(const node_id& replica,
                              const failure_domain_id& domain, time_point now)
{
    replica_state& state = replicas_[replica];
    state.domain = domain;
    state.up = true;
    state.knows_leader = false;
    state.leaderless_since = now;
    state.lag = {};
}

void home_replica::on_link_down(const node_id& replica)
{
    replicas_[replica].up = false;
}

void home_replica::on_view(const node_id& replica, bool knows_leader,
                           bool forwards, time_point now)
{
    replica_state& state = replicas_[replica];
    state.forwards = forwards;
    if (state.knows_leader && !knows_leader) {
        state.leaderless_since = now;
    }
    state.knows_leader = knows_leader;
}

void home_replica::on_version(const node_id& replica, std::uint64_t version,
                              time_point now)
{
    newest_version_ = std::max(newest_version_, version);
    replicas_[replica].lag.note_reached(version);
    for (auto& [node, state] : replicas_) {
        if (state.up) {
            state.lag.note_reported(newest_version_, now);
        }
    }
}

bool home_replica::is_unsuitable(const replica_state& replica,
                                 time_point now) const
{
    const bool cut_off =
        !replica.knows_leader &&
        now - replica.leaderless_since >= settings_.max_leaderless;
    return cut_off || replica.lag.lag(now) >= settings_.max_lag;
}

const node_id& home_replica::choose(const node_id& leader, time_point now)
{
    const node_id previous = current_;
    current_ = {};
    std::tuple<bool, bool, bool, bool> best_key;
    for (const auto& [node, state] : replicas_) {
        if (!state.up) {
            continue;
        }
        const std::tuple key{is_unsuitable(state, now),
                             state.domain != settings_.own_domain,
                             node != previous, node != leader};
        if (current_.empty() || key < best_key) {
            current_ = node;
            best_key = key;
        }
    }
    return current_;
}

std::set<node_id> home_replica::wanted_links(const node_id& leader,
                                             time_point now)
{
    const auto home = replicas_.find(current_);
    const auto leading = replicas_.find(leader);
    const bool sufficient = home != replicas_.end() && home->second.up &&
                            home->second.domain == settings_.own_domain &&
                            home->second.knows_leader &&
                            leading != replicas_.end() && leading->second.up;
    if (!sufficient) {
        sufficient_since_ = {};
    } else if (sufficient_since_ == time_point{}) {
        sufficient_since_ = now;
    }
    settled_ =
        sufficient && now - sufficient_since_ >= settings_.link_retention;
    std::set<node_id> wanted;
    for (const auto& [node, state] : replicas_) {
        if (!settled_ || node == current_ || node == leader ||
            !state.forwards) {
            wanted.insert(node);
        }
    }
    return wanted;
}

bool home_replica::needs_subscription(const node_id& replica,
                                      const node_id& leader) const
{
    const auto found = replicas_.find(replica);
    return replica == current_ || (!settled_ && replica == leader) ||
           (found != replicas_.end() && found->second.up &&
            !found->second.forwards);
}

} // namespace bamboogate::relay
