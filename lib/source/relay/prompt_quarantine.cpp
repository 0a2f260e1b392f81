#include <bamboogate/relay/prompt_quarantine.hpp>
#include <bamboogate/relay/request_fingerprint.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace bamboogate::relay {

namespace {

bool contains_all(std::span<const std::string> parts,
                  const std::vector<std::string>& wanted)
{
    return std::all_of(wanted.begin(), wanted.end(), [&](const auto& each) {
        return std::find(parts.begin(), parts.end(), each) != parts.end();
    });
}

} // namespace

void prompt_quarantine::remember_start(const std::string& part)
{
    const auto known = started_index_.find(part);
    if (known != started_index_.end()) {
        started_.splice(started_.begin(), started_, known->second);
        return;
    }
    started_.push_front(part);
    started_index_[part] = started_.begin();
    if (started_.size() > settings_.max_started_parts) {
        started_index_.erase(started_.back());
        started_.pop_back();
    }
}

void prompt_quarantine::note_started(std::span<const std::string> parts)
{
    for (const auto& part : parts) {
        suspicions_.erase(part);
        remember_start(part);
    }
}

prompt_quarantine::suspicion&
prompt_quarantine::suspicion_of(const std::string& part)
{
    const auto known = suspicions_.find(part);
    if (known != suspicions_.end()) {
        return known->second;
    }
    if (suspicions_.size() >= settings_.max_suspects) {
        suspicions_.erase(std::min_element(
            suspicions_.begin(), suspicions_.end(),
            [](const auto& a, const auto& b) {
                return std::tuple(a.second.crashes, a.second.last_break) <
                       std::tuple(b.second.crashes, b.second.last_break);
            }));
    }
    return suspicions_[part];
}

void prompt_quarantine::note_broken(std::span<const std::string> parts,
                                    time_point now)
{
    if (quarantine_of(parts, now)) {
        return;
    }
    for (const auto& part : parts) {
        suspicion_of(part).last_break = now;
    }
}

std::optional<quarantined_parts>
prompt_quarantine::note_crash(std::span<const std::string> parts,
                              const std::string& engine, time_point now,
                              bool repeated)
{
    // A crash under quarantined parts is explained by them.
    if (parts.empty() || quarantine_of(parts, now)) {
        return std::nullopt;
    }
    std::map<std::string, suspicion> evidence;
    unsigned most = 0;
    for (const auto& part : parts) {
        suspicion& entry = suspicion_of(part);
        const duration separation = is_request_fingerprint(part)
                                        ? settings_.request_crash_separation
                                        : settings_.crash_separation;
        const bool separate =
            entry.crashes == 0 ||
            (engine != entry.last_engine &&
             (repeated || now - entry.last_crash >= separation));
        if (separate) {
            ++entry.crashes;
            entry.last_crash = now;
            entry.last_engine = engine;
        }
        entry.last_break = now;
        evidence[part] = entry;
        most = std::max(most, entry.crashes);
    }
    if (most < settings_.max_crashes) {
        return std::nullopt;
    }
    quarantined_parts out{.crashes = most};
    for (const auto& [part, entry] : evidence) {
        if (entry.crashes == most) {
            out.parts.push_back(part);
            out.repetitions = std::max(out.repetitions, entry.repetitions);
        }
    }
    const bool started_before =
        std::all_of(out.parts.begin(), out.parts.end(), [&](const auto& part) {
            return started_index_.contains(part);
        });
    const duration first = started_before
                               ? settings_.first_quarantine_of_started
                               : settings_.first_quarantine;
    constexpr unsigned max_doublings = 16;
    out.remaining = std::min<duration>(
        first * (1 << std::min(out.repetitions, max_doublings)),
        settings_.max_quarantine);
    insert(out, now);
    return out;
}

bool prompt_quarantine::add_suspicion(const std::string& part, unsigned crashes,
                                      time_point now)
{
    suspicion& entry = suspicion_of(part);
    entry.last_break = now;
    if (entry.crashes >= crashes) {
        return false;
    }
    entry.crashes = crashes;
    return true;
}

bool prompt_quarantine::clear_suspicion(const std::string& part)
{
    const bool known = suspicions_.contains(part);
    note_started(std::span(&part, 1));
    return known;
}

std::map<std::string, unsigned> prompt_quarantine::suspected_requests() const
{
    std::map<std::string, unsigned> out;
    for (const auto& [part, entry] : suspicions_) {
        if (is_request_fingerprint(part)) {
            out[part] = entry.crashes;
        }
    }
    return out;
}

bool prompt_quarantine::knows_requests() const
{
    return std::any_of(suspicions_.begin(), suspicions_.end(),
                       [](const auto& each) {
                           return is_request_fingerprint(each.first);
                       }) ||
           std::any_of(quarantined_.begin(), quarantined_.end(),
                       [](const auto& each) {
                           return is_request_fingerprint(each.first.front());
                       });
}

unsigned prompt_quarantine::crashes_of(const std::string& part) const
{
    const auto found = suspicions_.find(part);
    return found == suspicions_.end() ? 0 : found->second.crashes;
}

std::vector<std::string>
prompt_quarantine::suspects(std::span<const std::string> parts) const
{
    std::vector<std::string> out;
    for (const auto& part : parts) {
        const auto known = suspicions_.find(part);
        const bool suspect =
            known != suspicions_.end() &&
            (known->second.crashes > 1 || !started_index_.contains(part));
        if (suspect) {
            out.push_back(part);
        }
    }
    return out;
}

std::optional<duration>
prompt_quarantine::quarantine_of(std::span<const std::string> parts,
                                 time_point now) const
{
    for (const auto& [wanted, entry] : quarantined_) {
        if (now < entry.until && contains_all(parts, wanted)) {
            return entry.until - now;
        }
    }
    return std::nullopt;
}

bool prompt_quarantine::add(const quarantined_parts& added, time_point now)
{
    if (added.remaining <= duration::zero()) {
        return lift(added.parts);
    }
    if (!insert(added, now)) {
        return false;
    }
    for (const auto& part : added.parts) {
        suspicion& entry = suspicion_of(part);
        entry.crashes = std::max(entry.crashes, added.crashes);
        entry.repetitions = std::max(entry.repetitions, added.repetitions);
        entry.last_break = now;
    }
    return true;
}

bool prompt_quarantine::lift(const std::vector<std::string>& parts)
{
    if (quarantined_.erase(parts) == 0) {
        return false;
    }
    for (const auto& part : parts) {
        suspicions_.erase(part);
    }
    return true;
}

bool prompt_quarantine::insert(const quarantined_parts& added, time_point now)
{
    if (added.parts.empty()) {
        return false;
    }
    const time_point until = now + added.remaining;
    const auto known = quarantined_.find(added.parts);
    if (known != quarantined_.end() &&
        known->second.repetitions >= added.repetitions) {
        return false;
    }
    if (known == quarantined_.end() &&
        quarantined_.size() >= settings_.max_quarantined) {
        quarantined_.erase(
            std::min_element(quarantined_.begin(), quarantined_.end(),
                             [](const auto& a, const auto& b) {
                                 return a.second.until < b.second.until;
                             }));
    }
    quarantined_[added.parts] = {added.crashes, added.repetitions, until};
    return true;
}

void prompt_quarantine::expire(time_point now)
{
    for (auto each = quarantined_.begin(); each != quarantined_.end();) {
        const auto next = std::next(each);
        if (each->second.until <= now) {
            for (const auto& part : each->first) {
                suspicion& entry = suspicion_of(part);
                entry.crashes = settings_.max_crashes - 1;
                entry.repetitions = each->second.repetitions + 1;
                entry.last_break = now;
            }
            quarantined_.erase(each);
        }
        each = next;
    }
    std::erase_if(suspicions_, [&](const auto& each) {
        return now - each.second.last_break > settings_.suspicion_retention;
    });
}

std::vector<quarantined_parts>
prompt_quarantine::quarantined(time_point now) const
{
    std::vector<quarantined_parts> out;
    for (const auto& [parts, entry] : quarantined_) {
        if (now < entry.until) {
            out.push_back({.parts = parts,
                           .crashes = entry.crashes,
                           .repetitions = entry.repetitions,
                           .remaining = entry.until - now});
        }
    }
    return out;
}

} // namespace bamboogate::relay
