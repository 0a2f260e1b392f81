#include <bamboogate/streaming/sse_parser.hpp>

namespace bamboogate::streaming {

result<void> sse_parser::feed(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        const auto piece = bytes.substr(0, end);
        if (line_.size() + piece.size() > settings_.max_line_bytes) {
            return fail(errc::limit_exceeded,
                        "line of a server-sent event is too long");
        }
        if (end == std::string_view::npos) {
            line_.append(piece);
            return outcome::success();
        }
        bytes.remove_prefix(end + 1);
        if (line_.empty()) {
            BOOST_OUTCOME_TRY(parse_line(piece));
            continue;
        }
        line_.append(piece);
        const std::string complete = std::exchange(line_, {});
        BOOST_OUTCOME_TRY(parse_line(complete));
    }
    return outcome::success();
}

result<void> sse_parser::parse_line(std::string_view line)
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        if (std::exchange(has_data_, false)) {
            const std::string event = std::exchange(data_, {});
            on_event_(event);
        }
        return outcome::success();
    }
    constexpr std::string_view field = "data:";
    if (!line.starts_with(field)) {
        return outcome::success();
    }
    line.remove_prefix(field.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    if (data_.size() + line.size() > settings_.max_event_bytes) {
        return fail(errc::limit_exceeded, "server-sent event is too long");
    }
    if (has_data_) {
        data_ += '\n';
    }
    data_.append(line);
    has_data_ = true;
    return outcome::success();
}

} // namespace bamboogate::streaming
