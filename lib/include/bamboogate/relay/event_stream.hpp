#ifndef BAMBOOGATE_RELAY_EVENT_STREAM_HPP
#define BAMBOOGATE_RELAY_EVENT_STREAM_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::relay {

/// One complete event of a `text/event-stream` body, including its terminating
/// blank line.
struct stream_event
{
    std::optional<std::uint64_t> id;
    std::string text;
    bool well_formed = true; ///< each line is a field or a comment
};

/// Splits a body into complete events, so that a stream that is cut inside an
/// event can resume elsewhere. Not thread safe.
class event_splitter
{
public:
    /// @brief Appends a part of the body. @return the events that it completes
    [[nodiscard]] std::vector<stream_event> read(std::string_view part);

    /// @brief True while bytes of an incomplete event are buffered.
    [[nodiscard]] bool inside_event() const { return !buffer_.empty(); }

private:
    std::string buffer_;
};

} // namespace bamboogate::relay

#endif
