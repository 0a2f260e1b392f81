#ifndef BAMBOOGATE_STREAMING_SSE_PARSER_HPP
#define BAMBOOGATE_STREAMING_SSE_PARSER_HPP

#include <bamboogate/core/result.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace bamboogate::streaming {

/// Extracts the data of the events of a `text/event-stream`. Skips comments and
/// fields other than `data`. Performs no I/O.
class sse_parser
{
public:
    struct options
    {
        std::size_t max_line_bytes = 64u << 10;
        std::size_t max_event_bytes = 256u << 10;
    };

    using handler = std::function<void(std::string_view data)>;

    sse_parser(const options& settings, handler on_event)
        : settings_(settings), on_event_(std::move(on_event))
    {}

    /// @brief Parses the next bytes, in chunks of any size.
    /// @return `limit_exceeded` when a line or an event is too long; the
    ///     parser must not be used afterwards
    [[nodiscard]] result<void> feed(std::string_view bytes);

private:
    result<void> parse_line(std::string_view line);

    options settings_;
    handler on_event_;
    std::string line_; ///< incomplete line
    std::string data_;
    bool has_data_ = false;
};

} // namespace bamboogate::streaming

#endif
