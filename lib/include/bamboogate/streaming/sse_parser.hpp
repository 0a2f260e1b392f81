#ifndef BAMBOOGATE_STREAMING_SSE_PARSER_HPP
#define BAMBOOGATE_STREAMING_SSE_PARSER_HPP

#include <bamboogate/core/result.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace bamboogate::streaming {

/// Splits a `text/event-stream` into the data of its events. Fields other than
/// `data` and comments are skipped. Pure.
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

    /// @brief Takes bytes in pieces of any size.
    /// @return `limit_exceeded` when a line or an event is too long; the
    ///     parser must not be used afterwards
    [[nodiscard]] result<void> feed(std::string_view bytes);

private:
    result<void> take_line(std::string_view line);

    options settings_;
    handler on_event_;
    std::string line_; ///< start of a line whose end has not arrived
    std::string data_;
    bool has_data_ = false;
};

} // namespace bamboogate::streaming

#endif
