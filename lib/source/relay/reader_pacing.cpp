#include <bamboogate/relay/reader_pacing.hpp>

#include <algorithm>
#include <tuple>

namespace bamboogate::relay {

std::string_view name_of(reader_loss cause)
{
    return cause == reader_loss::memory ? "memory" : "unread_limit";
}

std::vector<reader_pacing::given_up>
reader_pacing::choose_given_up(std::span<const slow_reader> readers,
                               std::size_t used_bytes,
                               std::size_t needed_bytes) const
{
    std::vector<given_up> out;
    std::vector<slow_reader> candidates;
    std::size_t candidate_bytes = 0;
    for (const auto& each : readers) {
        if (each.unread_for >= settings_.unread_limit) {
            out.push_back({each, reader_loss::unread_limit});
            used_bytes -= std::min(used_bytes, each.held_bytes);
        } else if (exhausted(used_bytes) ||
                   each.unread_for >= settings_.recent_read) {
            candidates.push_back(each);
            candidate_bytes += each.held_bytes;
        }
    }
    const std::size_t kept = used_bytes - std::min(used_bytes, candidate_bytes);
    if (kept + needed_bytes > settings_.budget_bytes) {
        return out;
    }
    const auto weight = [](const slow_reader& reader) {
        return std::tuple(static_cast<double>(reader.held_bytes) *
                              to_seconds(reader.unread_for),
                          reader.held_bytes, reader.connection);
    };
    std::sort(candidates.begin(), candidates.end(),
              [&](const slow_reader& a, const slow_reader& b) {
                  return weight(a) > weight(b);
              });
    for (const auto& each : candidates) {
        if (used_bytes + needed_bytes <= settings_.budget_bytes) {
            break;
        }
        out.push_back({each, reader_loss::memory});
        used_bytes -= std::min(used_bytes, each.held_bytes);
    }
    return out;
}

} // namespace bamboogate::relay
