#ifndef BAMBOOGATE_RELAY_EVENT_STREAM_HPP
#define BAMBOOGATE_RELAY_EVENT_STREAM_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::relay {

/// One whole event of a `text/event-stream` body, with its blank line.
struct stream_event
{
    std::optional<std::uint64_t> id;
    std::string text;
};

/// Cuts a body into whole events, so that a stream that breaks off inside an
/// event can go on elsewhere. Not thread safe.
class event_splitter
{
public:
    /// @brief Takes a part of the body. @return the events that it completes
    [[nodiscard]] std::vector<stream_event> read(std::string_view part);

    /// @brief True when bytes of an unfinished event are held.
    [[nodiscard]] bool inside_event() const { return !held_.empty(); }

private:
    std::string held_;
};

} // namespace bamboogate::relay

#endif
