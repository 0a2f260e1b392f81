#ifndef BAMBOOGATE_NET_HTTP1_HPP
#define BAMBOOGATE_NET_HTTP1_HPP

#include <bamboogate/core/result.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboogate::net {

/// Header fields in the order and spelling used on the wire. Names are compared
/// case-insensitively.
class header_list
{
public:
    using field = std::pair<std::string, std::string>;

    header_list() = default;
    header_list(std::initializer_list<field> fields) : fields_(fields) {}

    void add(std::string name, std::string value);

    /// @brief Replaces all fields of this name by one.
    void set(std::string_view name, std::string value);

    /// @brief Removes all fields of this name.
    void remove(std::string_view name);

    /// @brief The first value of a field.
    [[nodiscard]] std::optional<std::string_view>
    find(std::string_view name) const;

    /// @brief True if a comma-separated field contains a token.
    [[nodiscard]] bool has_token(std::string_view name,
                                 std::string_view token) const;

    [[nodiscard]] auto begin() const { return fields_.begin(); }
    [[nodiscard]] auto end() const { return fields_.end(); }
    [[nodiscard]] std::size_t size() const { return fields_.size(); }

private:
    std::vector<field> fields_;
};

/// @brief Compares ASCII text case-insensitively. Thread safe.
[[nodiscard]] bool equal_ignoring_case(std::string_view left,
                                       std::string_view right) noexcept;

/// A complete request.
struct http1_request
{
    std::string method;
    std::string target; ///< path and query as sent
    header_list headers;
    std::string body;
    bool keep_alive = true;

    /// @brief The target without its query.
    [[nodiscard]] std::string_view path() const;
};

/// Status line and header fields of a response.
struct http1_response_head
{
    unsigned status = 0;
    std::string reason;
    header_list headers;
};

/// Size limits for received messages.
struct http1_limits
{
    std::size_t header_bytes = 16u << 10;
    std::size_t body_bytes = 4u << 20;
};

/// Parses requests from a byte stream. Rejects messages that two parsers could
/// interpret differently (both Content-Length and Transfer-Encoding, spaces in
/// field names, bare line feeds), to prevent request smuggling. Not thread
/// safe.
class http1_request_reader
{
public:
    explicit http1_request_reader(http1_limits limits);
    ~http1_request_reader();
    http1_request_reader(const http1_request_reader&) = delete;
    http1_request_reader& operator=(const http1_request_reader&) = delete;

    /// @brief Consumes bytes, at most up to the end of the current request.
    /// @return number of bytes consumed; `malformed_input`, or `limit_exceeded`
    ///     with detail `header` or `body`
    result<std::size_t> read(std::string_view bytes);

    /// @brief True once the current request is complete.
    [[nodiscard]] bool done() const;
    /// @brief True once the head of the current request is complete.
    [[nodiscard]] bool has_head() const;
    /// @brief True if the client waits for `100 Continue`.
    [[nodiscard]] bool expects_continue() const;

    /// @brief Bytes of memory that the current request takes: of its head, of
    ///     input that is not parsed yet, and of the whole body if its length is
    ///     known, else of the space for the part that was received.
    [[nodiscard]] std::size_t needed_bytes() const;

    /// @brief Allocates the space of a body whose length is known, so that it
    ///     is not copied while it grows. Has no effect before the head is
    ///     complete.
    void reserve_body();

    /// @brief Returns the request and resets the reader for the next one.
    /// @pre done()
    http1_request take();

    /// @brief Discards the current request and its memory.
    void reset();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Parses one response from a byte stream; interim 1xx responses are skipped.
/// Not thread safe.
class http1_response_reader
{
public:
    struct callbacks
    {
        std::function<void(const http1_response_head&)> on_head;
        /// A part of the body with the transfer coding removed.
        std::function<void(std::string_view)> on_body;
    };

    /// @param head_request true if the request's method was HEAD
    http1_response_reader(callbacks handlers, bool head_request);
    ~http1_response_reader();
    http1_response_reader(const http1_response_reader&) = delete;
    http1_response_reader& operator=(const http1_response_reader&) = delete;

    /// @brief Consumes bytes, at most up to the end of the response.
    /// @return number of bytes consumed, or `malformed_input`
    result<std::size_t> read(std::string_view bytes);

    /// @brief Reports that the peer closed the connection.
    /// @return success if that completes a response without a length
    result<void> read_end();

    [[nodiscard]] bool done() const;
    /// @brief True once a byte of a response was received.
    [[nodiscard]] bool started() const;
    /// @brief True if the connection can be reused after the response.
    [[nodiscard]] bool keep_alive() const;
    /// @brief True if the response is delimited by the end of the connection.
    [[nodiscard]] bool ends_with_connection() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// @brief Serializes a request head, including the length of the body. Thread
///     safe.
[[nodiscard]] std::string serialize_request_head(std::string_view method,
                                                 std::string_view target,
                                                 const header_list& headers,
                                                 std::size_t body_bytes);

/// @brief Serializes a response head; the caller adds framing fields to
///     `headers`.
[[nodiscard]] std::string serialize_response_head(unsigned status,
                                                  std::string_view reason,
                                                  const header_list& headers);

/// @brief Removes hop-by-hop fields, including those named by `Connection`, and
///     the framing fields.
void remove_hop_by_hop_fields(header_list& headers);

/// @brief The standard reason phrase of a status code.
[[nodiscard]] std::string_view reason_of(unsigned status) noexcept;

} // namespace bamboogate::net

#endif
