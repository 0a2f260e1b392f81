#include <bamboogate/relay/event_stream.hpp>

#include <algorithm>
#include <charconv>

namespace bamboogate::relay {

namespace {

std::optional<std::uint64_t> read_id(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view()
                                              : event.substr(end + 1);
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        std::uint64_t value = 0;
        const auto [stop, problem] =
            std::from_chars(line.data(), line.data() + line.size(), value);
        if (problem == std::errc() && stop != line.data()) {
            return value;
        }
    }
    return std::nullopt;
}

bool is_field_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_';
}

bool is_field_or_comment(std::string_view line)
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return line.empty() || line == "data" || line == "event" ||
               line == "id" || line == "retry";
    }
    const auto name = line.substr(0, colon);
    return std::all_of(name.begin(), name.end(), is_field_character);
}

bool is_well_formed(std::string_view event)
{
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        if (!is_field_or_comment(event.substr(0, end))) {
            return false;
        }
        event.remove_prefix(std::min(end + 1, event.size()));
    }
    return true;
}

/// Position after the blank line that ends the first event, else `npos`.
std::size_t end_of_event(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n') {
            return at + 2;
        }
        if (at + 2 < text.size() && text[at + 1] == '\r' &&
            text[at + 2] == '\n') {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::vector<stream_event> event_splitter::read(std::string_view part)
{
    // The blank line may begin with the last two bytes of the input so far.
    const std::size_t searched =
        buffer_.size() - std::min<std::size_t>(buffer_.size(), 2);
    buffer_.append(part);
    std::vector<stream_event> events;
    std::size_t begin = 0;
    for (std::size_t end = end_of_event(buffer_, searched);
         end != std::string_view::npos; end = end_of_event(buffer_, begin)) {
        stream_event event;
        event.text = buffer_.substr(begin, end - begin);
        event.id = read_id(event.text);
        event.well_formed = is_well_formed(event.text);
        events.push_back(std::move(event));
        begin = end;
    }
    buffer_.erase(0, begin);
    return events;
}

} // namespace bamboogate::relay
