#include <bamboogate/core/json.hpp>

#include <fmt/format.h>

#include <cstdint>

namespace bamboogate {

namespace {

/// SAX handler that checks the nesting depth and discards all values.
class depth_checker : public json::json_sax_t
{
public:
    explicit depth_checker(std::size_t max_depth) : max_depth_(max_depth) {}

    [[nodiscard]] bool too_deep() const noexcept { return too_deep_; }
    [[nodiscard]] const std::string& problem() const noexcept
    {
        return problem_;
    }
    [[nodiscard]] std::size_t position() const noexcept { return position_; }

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return enter(); }
    bool key(string_t&) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t position, const std::string&,
                     const nlohmann::detail::exception& problem) override
    {
        position_ = position;
        problem_ = problem.what();
        return false;
    }

private:
    bool enter()
    {
        ++depth_;
        too_deep_ = depth_ > max_depth_;
        return !too_deep_;
    }
    bool leave()
    {
        --depth_;
        return true;
    }

    std::size_t max_depth_;
    std::size_t depth_ = 0;
    std::size_t position_ = 0;
    bool too_deep_ = false;
    std::string problem_;
};

std::string line_and_column(std::string_view text, std::size_t position)
{
    std::size_t line = 1;
    std::size_t column = 1;
    for (std::size_t i = 0; i + 1 < position && i < text.size(); ++i) {
        if (text[i] == '\n') {
            ++line;
            column = 1;
        } else {
            ++column;
        }
    }
    return fmt::format("line {}, column {}", line, column);
}

// Every nesting level takes at least one byte and one recursion of the CBOR
// reader, so input up to this size cannot exhaust the stack.
constexpr std::size_t max_bytes_without_depth_check = 1024;

} // namespace

result<json> parse_json(std::string_view text, const parse_limits& limits)
{
    if (text.size() > limits.max_bytes) {
        return fail(errc::limit_exceeded,
                    fmt::format("document of {} bytes exceeds {}", text.size(),
                                limits.max_bytes));
    }
    bool too_deep = false;
    const auto max_depth = static_cast<int>(limits.max_depth);
    auto check_depth = [&](int depth, json::parse_event_t event, json&) {
        const bool opens = event == json::parse_event_t::object_start ||
                           event == json::parse_event_t::array_start;
        too_deep = too_deep || (opens && depth >= max_depth);
        return !too_deep;
    };
    json document = json::parse(text, check_depth, false);
    if (too_deep) {
        return fail(errc::limit_exceeded,
                    fmt::format("nesting exceeds {} levels", max_depth));
    }
    if (!document.is_discarded()) {
        return document;
    }
    depth_checker checker(limits.max_depth);
    json::sax_parse(text, &checker);
    return fail(errc::malformed_input,
                fmt::format("{}: {}", line_and_column(text, checker.position()),
                            checker.problem()));
}

result<json> decode_cbor(std::string_view bytes, const parse_limits& limits)
{
    if (bytes.size() > limits.max_bytes) {
        return fail(errc::limit_exceeded,
                    fmt::format("item of {} bytes exceeds {}", bytes.size(),
                                limits.max_bytes));
    }
    if (bytes.size() > max_bytes_without_depth_check) {
        depth_checker checker(limits.max_depth);
        if (!json::sax_parse(bytes, &checker, json::input_format_t::cbor)) {
            if (checker.too_deep()) {
                return fail(errc::limit_exceeded, "CBOR nesting too deep");
            }
            return fail(errc::malformed_input, checker.problem());
        }
    }
    try {
        json document = json::from_cbor(bytes, true, false);
        if (document.is_discarded()) {
            return fail(errc::malformed_input, "not a CBOR item");
        }
        return document;
    } catch (const json::exception& problem) {
        // The library throws, in spite of the last argument, for a container
        // whose declared length exceeds the address space.
        return fail(errc::malformed_input, problem.what());
    }
}

std::string encode_cbor(const json& document)
{
    std::string out;
    json::to_cbor(document, nlohmann::detail::output_adapter<char>(out));
    return out;
}

} // namespace bamboogate
