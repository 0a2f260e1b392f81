#include <bamboogate/net/request_memory.hpp>

#include <algorithm>

namespace bamboogate::net {

request_memory::admission
request_memory::request(client_id client, std::size_t bytes, time_point now)
{
    const auto [entry, is_new] = holders_.try_emplace(client);
    holder& each = entry->second;
    if (is_new) {
        each.admitted_at = each.last_progress = now;
    }
    if (bytes <= each.held) {
        return admission::admitted;
    }
    // Otherwise a stream of new requests would starve those that wait.
    const bool others_first = is_large(bytes) && has_waiting();
    if (!others_first && fits(each, bytes, 0)) {
        hold(each, bytes);
        return admission::admitted;
    }
    const std::size_t added = bytes - each.held;
    // What waits ahead takes the room that is expected meanwhile.
    if (waiting_.size() >= settings_.max_waiting ||
        added >
            settings_.total_bytes - std::min(wanted_, settings_.total_bytes)) {
        release(client);
        return admission::refused;
    }
    each.wanted = bytes;
    each.waiting_since = now;
    wanted_ += added;
    waiting_.push_back(client);
    return admission::waiting;
}

bool request_memory::try_add(client_id client, std::size_t bytes)
{
    holder& each = holders_[client];
    if (bytes >
        settings_.total_bytes - std::min(used_, settings_.total_bytes)) {
        return false;
    }
    hold(each, each.held + bytes);
    return true;
}

void request_memory::note_progress(client_id client, std::size_t bytes,
                                   time_point now)
{
    const auto found = holders_.find(client);
    if (found != holders_.end()) {
        found->second.received += bytes;
        found->second.last_progress = now;
    }
}

void request_memory::note_complete(client_id client)
{
    const auto found = holders_.find(client);
    if (found != holders_.end()) {
        found->second.complete = true;
    }
}

void request_memory::release(client_id client)
{
    const auto found = holders_.find(client);
    if (found == holders_.end()) {
        return;
    }
    const holder& each = found->second;
    used_ -= each.held;
    used_by_large_ -= each.large ? each.held : 0;
    if (each.wanted > 0) {
        wanted_ -= each.wanted - each.held;
        waiting_.remove(client);
    }
    holders_.erase(found);
}

request_memory::decisions request_memory::review(time_point now)
{
    decisions out;
    refuse_expired(now, out);
    admit_waiting(now, out);
    displace_slow(now, out);
    return out;
}

bool request_memory::fits(const holder& client, std::size_t bytes,
                          std::size_t displaced) const
{
    const std::size_t total = settings_.total_bytes;
    const std::size_t used = used_ - displaced - client.held;
    if (!is_large(bytes)) {
        return bytes <= total && used <= total - bytes;
    }
    const std::size_t reserve = total / settings_.reserve_divisor;
    const std::size_t large = used_by_large_ -
                              std::min(displaced, used_by_large_) -
                              (client.large ? client.held : 0);
    if (large == 0) {
        return used <= std::max(reserve, total - std::min(bytes, total));
    }
    return bytes <= total - reserve && large <= total - reserve - bytes &&
           used <= total - bytes;
}

void request_memory::hold(holder& client, std::size_t bytes)
{
    used_ += bytes - client.held;
    used_by_large_ -= client.large ? client.held : 0;
    client.held = bytes;
    client.large = is_large(bytes);
    used_by_large_ += client.large ? client.held : 0;
}

bool request_memory::is_slow(const holder& client, time_point now) const
{
    if (client.complete || client.wanted > 0 || client.held == 0) {
        return false;
    }
    if (now - client.last_progress >= settings_.stall_time) {
        return true;
    }
    const duration sending = now - client.admitted_at;
    const double seconds = std::chrono::duration<double>(sending).count();
    return sending >= settings_.rate_time &&
           static_cast<double>(client.received) <
               seconds * static_cast<double>(settings_.min_bytes_per_second);
}

void request_memory::refuse_expired(time_point now, decisions& out)
{
    for (const client_id each : waiting_) {
        if (now - holders_[each].waiting_since >= settings_.max_wait) {
            out.refused.push_back(each);
        }
    }
    for (const client_id each : out.refused) {
        release(each);
    }
}

void request_memory::admit_waiting(time_point now, decisions& out)
{
    bool large_admitted = true; // Large requests are admitted in their order.
    for (auto next = waiting_.begin(); next != waiting_.end();) {
        holder& each = holders_[*next];
        const bool large = is_large(each.wanted);
        if ((large && !large_admitted) || !fits(each, each.wanted, 0)) {
            large_admitted = large_admitted && !large;
            ++next;
            continue;
        }
        wanted_ -= each.wanted - each.held;
        hold(each, each.wanted);
        each.wanted = 0;
        each.admitted_at = each.last_progress = now;
        each.received = 0;
        out.admitted.push_back(*next);
        next = waiting_.erase(next);
    }
}

void request_memory::displace_slow(time_point now, decisions& out)
{
    if (waiting_.empty()) {
        return;
    }
    std::vector<std::pair<time_point, client_id>> slow;
    for (const auto& [id, each] : holders_) {
        if (is_slow(each, now)) {
            slow.emplace_back(each.last_progress, id);
        }
    }
    std::sort(slow.begin(), slow.end());
    const holder& first = holders_[waiting_.front()];
    std::size_t displaced = 0;
    for (const auto& [since, id] : slow) {
        if (fits(first, first.wanted, displaced)) {
            break;
        }
        displaced += holders_[id].held;
        out.displaced.push_back(id);
    }
}

} // namespace bamboogate::net
