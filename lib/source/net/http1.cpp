#include <bamboogate/net/http1.hpp>
#include <bamboogate/net/http_syntax.hpp>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <limits>

namespace bamboogate::net {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Limit of the head of a response, and of an unfinished line or trailer of any
/// message. A peer in trouble may send one without end.
constexpr std::size_t max_unparsed_bytes = 64u << 10;

std::string to_text(beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

template <typename Visitor>
void for_each_token(std::string_view list, Visitor visit)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        visit(trim(list.substr(0, comma)));
        list = comma == std::string_view::npos ? std::string_view()
                                               : list.substr(comma + 1);
    }
}

/// Boost.Beast parser that stores the head of the message and passes the body
/// on.
template <bool IsRequest>
class collecting_parser : public http::basic_parser<IsRequest>
{
public:
    std::string method;
    std::string target;
    unsigned status = 0;
    std::string reason;
    header_list headers;
    /// Memory of the fields, whose list grows by doubling.
    std::size_t field_bytes = 0;
    bool head_read = false;
    framing_check framing;
    std::function<void(std::string_view)> on_body;

private:
    void on_request_impl(http::verb, beast::string_view method_text,
                         beast::string_view target_text, int,
                         beast::error_code& problem) override
    {
        problem = {};
        method = to_text(method_text);
        target = to_text(target_text);
    }

    void on_response_impl(int code, beast::string_view text, int,
                          beast::error_code& problem) override
    {
        status = static_cast<unsigned>(code);
        problem = {};
        if (!is_status_code(status)) {
            problem = http::error::bad_status;
        }
        reason = to_text(text);
    }

    void on_field_impl(http::field, beast::string_view name,
                       beast::string_view value,
                       beast::error_code& problem) override
    {
        problem = {};
        // Beast takes a message with another transfer coding for one that ends
        // with its connection.
        if (!framing.accept({name.data(), name.size()},
                            {value.data(), value.size()})) {
            problem = http::error::bad_transfer_encoding;
            return;
        }
        headers.add(to_text(name), to_text(value));
        field_bytes +=
            name.size() + value.size() + 2 * sizeof(header_list::field);
    }

    void on_header_impl(beast::error_code& problem) override
    {
        problem = {};
        head_read = true;
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>&,
                           beast::error_code& problem) override
    {
        problem = {};
    }

    std::size_t on_body_impl(beast::string_view body,
                             beast::error_code& problem) override
    {
        problem = {};
        on_body({body.data(), body.size()});
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view,
                              beast::error_code& problem) override
    {
        problem = {};
    }

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view body,
                                   beast::error_code& problem) override
    {
        problem = {};
        on_body({body.data(), body.size()});
        return body.size();
    }

    void on_finish_impl(beast::error_code& problem) override { problem = {}; }
};

/// Feeds bytes to the parser until the message ends or more input is needed.
/// @return number of bytes consumed
template <typename Parser>
result<std::size_t> feed(Parser& parser, std::string& unparsed,
                         std::string_view bytes)
{
    // Beast does not keep unfinished lines: they are passed to it again
    // together with the next input.
    const std::size_t before = unparsed.size();
    if (before > 0) {
        unparsed.append(bytes);
    }
    const std::string_view input = before > 0 ? unparsed : bytes;
    std::size_t used = 0;
    while (used < input.size() && !parser.is_done()) {
        beast::error_code problem;
        const std::size_t count = parser.put(
            boost::asio::buffer(input.data() + used, input.size() - used),
            problem);
        used += count;
        if (problem == http::error::need_more) {
            break;
        }
        if (problem) {
            return fail(problem == http::error::header_limit ||
                                problem == http::error::body_limit
                            ? errc::limit_exceeded
                            : errc::malformed_input,
                        problem == http::error::header_limit ? "header"
                        : problem == http::error::body_limit
                            ? "body"
                            : problem.message());
        }
        if (count == 0) {
            break;
        }
    }
    if (parser.is_done()) {
        // Everything up to `used` belongs to this message.
        std::string().swap(unparsed);
        return used - std::min(used, before);
    }
    if (before > 0) {
        unparsed.erase(0, used);
    } else {
        unparsed.assign(input.substr(used));
    }
    if (unparsed.empty()) {
        // Long bodies follow; the memory of the head is not needed for them.
        std::string().swap(unparsed);
    }
    if (unparsed.size() > max_unparsed_bytes) {
        return fail(errc::limit_exceeded, "header");
    }
    return bytes.size();
}

} // namespace

bool equal_ignoring_case(std::string_view left, std::string_view right) noexcept
{
    const auto lower = [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
    };
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [&](char a, char b) { return lower(a) == lower(b); });
}

// Not inline: g++ 12 reports a false write beyond a short string if it is.
void header_list::add(std::string name, std::string value)
{
    fields_.emplace_back(std::move(name), std::move(value));
}

void header_list::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string(name), std::move(value));
}

void header_list::remove(std::string_view name)
{
    std::erase_if(fields_, [&](const field& each) {
        return equal_ignoring_case(each.first, name);
    });
}

std::optional<std::string_view> header_list::find(std::string_view name) const
{
    for (const auto& [key, value] : fields_) {
        if (equal_ignoring_case(key, name)) {
            return value;
        }
    }
    return std::nullopt;
}

bool header_list::has_token(std::string_view name, std::string_view token) const
{
    bool found = false;
    for (const auto& [key, value] : fields_) {
        if (equal_ignoring_case(key, name)) {
            for_each_token(value, [&](std::string_view each) {
                found = found || equal_ignoring_case(each, token);
            });
        }
    }
    return found;
}

std::string_view http1_request::path() const
{
    const std::string_view text = target;
    return text.substr(0, text.find('?'));
}

struct http1_request_reader::impl
{
    http1_limits limits;
    std::unique_ptr<collecting_parser<true>> parser;
    std::string unparsed;
    std::string body;

    void reset()
    {
        parser = std::make_unique<collecting_parser<true>>();
        parser->eager(true);
        parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        parser->body_limit(limits.body_bytes);
        parser->on_body = [this](std::string_view part) { body.append(part); };
        std::string().swap(body);
        std::string().swap(unparsed);
    }

    [[nodiscard]] std::size_t known_body_bytes() const
    {
        const auto length =
            parser->is_header_done() ? parser->content_length() : boost::none;
        return length ? std::min(static_cast<std::size_t>(*length),
                                 limits.body_bytes)
                      : 0;
    }
};

http1_request_reader::http1_request_reader(http1_limits limits)
    : impl_(std::make_unique<impl>())
{
    impl_->limits = limits;
    impl_->reset();
}

http1_request_reader::~http1_request_reader() = default;

result<std::size_t> http1_request_reader::read(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(consumed, feed(*impl_->parser, impl_->unparsed, bytes));
    if (!impl_->parser->is_header_done() &&
        impl_->unparsed.size() > impl_->limits.header_bytes) {
        return fail(errc::limit_exceeded, "header");
    }
    return consumed;
}

bool http1_request_reader::done() const
{
    return impl_->parser->is_done();
}

bool http1_request_reader::has_head() const
{
    return impl_->parser->is_header_done();
}

bool http1_request_reader::expects_continue() const
{
    return has_head() &&
           impl_->parser->headers.has_token("Expect", "100-continue");
}

std::size_t http1_request_reader::needed_bytes() const
{
    return impl_->parser->field_bytes + impl_->unparsed.capacity() +
           std::max(impl_->body.capacity(), impl_->known_body_bytes());
}

void http1_request_reader::reserve_body()
{
    impl_->body.reserve(impl_->known_body_bytes());
}

void http1_request_reader::reset()
{
    impl_->reset();
}

http1_request http1_request_reader::take()
{
    http1_request request{.method = std::move(impl_->parser->method),
                          .target = std::move(impl_->parser->target),
                          .headers = std::move(impl_->parser->headers),
                          .body = std::move(impl_->body),
                          .keep_alive = impl_->parser->keep_alive()};
    impl_->reset();
    return request;
}

struct http1_response_reader::impl
{
    callbacks handlers;
    bool head_request = false;
    std::unique_ptr<collecting_parser<false>> parser;
    std::string unparsed;
    bool started = false;
    bool head_reported = false;

    void reset()
    {
        parser = std::make_unique<collecting_parser<false>>();
        parser->eager(true);
        parser->header_limit(static_cast<std::uint32_t>(max_unparsed_bytes));
        // The length of a response is up to the engine.
        parser->body_limit(boost::none);
        parser->skip(head_request);
        parser->on_body = [this](std::string_view part) {
            report_head();
            handlers.on_body(part);
        };
        unparsed.clear();
    }

    [[nodiscard]] bool interim() const
    {
        return parser->status >= 100 && parser->status < 200;
    }

    void report_head()
    {
        if (head_reported || !parser->is_header_done() || interim()) {
            return;
        }
        head_reported = true;
        handlers.on_head({.status = parser->status,
                          .reason = parser->reason,
                          .headers = parser->headers});
    }
};

http1_response_reader::http1_response_reader(callbacks handlers,
                                             bool head_request)
    : impl_(std::make_unique<impl>())
{
    impl_->handlers = std::move(handlers);
    impl_->head_request = head_request;
    impl_->reset();
}

http1_response_reader::~http1_response_reader() = default;

result<std::size_t> http1_response_reader::read(std::string_view bytes)
{
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !done()) {
        impl_->started = true;
        BOOST_OUTCOME_TRY(count, feed(*impl_->parser, impl_->unparsed,
                                      bytes.substr(consumed)));
        consumed += count;
        impl_->report_head();
        if (impl_->parser->is_done() && impl_->interim()) {
            impl_->reset();
            continue;
        }
        if (!impl_->parser->is_done()) {
            break;
        }
    }
    return consumed;
}

result<void> http1_response_reader::read_end()
{
    beast::error_code problem;
    if (!impl_->started || !impl_->parser->is_header_done()) {
        return fail(errc::connection_lost,
                    "connection closed before a response");
    }
    impl_->parser->put_eof(problem);
    if (problem) {
        return fail(errc::connection_lost,
                    "connection closed within a response");
    }
    return outcome::success();
}

bool http1_response_reader::done() const
{
    return impl_->parser->is_done() && !impl_->interim();
}

bool http1_response_reader::started() const
{
    return impl_->started;
}

bool http1_response_reader::keep_alive() const
{
    return impl_->parser->is_header_done() && impl_->parser->keep_alive();
}

bool http1_response_reader::ends_with_connection() const
{
    return impl_->parser->is_header_done() && impl_->parser->need_eof();
}

std::string serialize_request_head(std::string_view method,
                                   std::string_view target,
                                   const header_list& headers,
                                   std::size_t body_bytes)
{
    std::string out = fmt::format("{} {} HTTP/1.1\r\n", method, target);
    for (const auto& [name, value] : headers) {
        out += fmt::format("{}: {}\r\n", name, value);
    }
    const bool bodyless = method == "GET" || method == "HEAD" ||
                          method == "DELETE" || method == "OPTIONS";
    if (body_bytes != 0 || !bodyless) {
        out += fmt::format("Content-Length: {}\r\n", body_bytes);
    }
    out += "\r\n";
    return out;
}

std::string serialize_response_head(unsigned status, std::string_view reason,
                                    const header_list& headers)
{
    std::string out = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
    for (const auto& [name, value] : headers) {
        out += fmt::format("{}: {}\r\n", name, value);
    }
    out += "\r\n";
    return out;
}

void remove_hop_by_hop_fields(header_list& headers)
{
    std::vector<std::string> connection_options;
    for (const auto& [name, value] : headers) {
        if (equal_ignoring_case(name, "Connection")) {
            for_each_token(value, [&](std::string_view token) {
                connection_options.emplace_back(token);
            });
        }
    }
    for (const auto& name : connection_options) {
        headers.remove(name);
    }
    static constexpr std::array hop_by_hop_fields{
        "Connection", "Keep-Alive", "Proxy-Connection",
        "TE",         "Trailer",    "Transfer-Encoding",
        "Upgrade",    "Expect",     "Content-Length"};
    for (const auto* name : hop_by_hop_fields) {
        headers.remove(name);
    }
}

std::string_view reason_of(unsigned status) noexcept
{
    const auto text = http::obsolete_reason(static_cast<http::status>(status));
    return {text.data(), text.size()};
}

} // namespace bamboogate::net
