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

/// Header fields in their order and spelling on the wire. Names compare
/// without regard to case.
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

    /// @brief True when a comma-separated field contains a token.
    [[nodiscard]] bool has_token(std::string_view name,
                                 std::string_view token) const;

    [[nodiscard]] auto begin() const { return fields_.begin(); }
    [[nodiscard]] auto end() const { return fields_.end(); }
    [[nodiscard]] std::size_t size() const { return fields_.size(); }

private:
    std::vector<field> fields_;
};

/// @brief Compares ASCII text without regard to case. Thread safe.
[[nodiscard]] bool equal_ignoring_case(std::string_view left,
                                       std::string_view right) noexcept;

/// A request that was read whole.
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

/// The head of an answer.
struct http1_response_head
{
    unsigned status = 0;
    std::string reason;
    header_list headers;
};

/// Caps on what a peer may send.
struct http1_limits
{
    std::size_t header_bytes = 16u << 10;
    std::size_t body_bytes = 4u << 20;
};

/// Reads requests from a byte stream. Rejects everything that two readers
/// could understand differently (both lengths, spaces in names, bare line
/// ends), so that no request hides inside another. Not thread safe.
class http1_request_reader
{
public:
    explicit http1_request_reader(http1_limits limits);
    ~http1_request_reader();
    http1_request_reader(const http1_request_reader&) = delete;
    http1_request_reader& operator=(const http1_request_reader&) = delete;

    /// @brief Takes bytes, at most up to the end of the current request.
    /// @return number of bytes taken; `malformed_input`, or `limit_exceeded`
    ///     with detail `header` or `body`
    result<std::size_t> read(std::string_view bytes);

    /// @brief True once the current request is whole.
    [[nodiscard]] bool done() const;
    /// @brief True once the head of the current request was read.
    [[nodiscard]] bool has_head() const;
    /// @brief True when the client waits for `100 Continue`.
    [[nodiscard]] bool expects_continue() const;

    /// @brief Hands out the request and prepares for the next one.
    /// @pre done()
    http1_request take();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Reads one answer from a byte stream; interim 1xx answers are skipped.
/// Not thread safe.
class http1_response_reader
{
public:
    struct callbacks
    {
        std::function<void(const http1_response_head&)> on_head;
        /// A part of the body without its transfer coding.
        std::function<void(std::string_view)> on_body;
    };

    /// @param head_request true when the request's method was HEAD
    http1_response_reader(callbacks handlers, bool head_request);
    ~http1_response_reader();
    http1_response_reader(const http1_response_reader&) = delete;
    http1_response_reader& operator=(const http1_response_reader&) = delete;

    /// @brief Takes bytes, at most up to the end of the answer.
    /// @return number of bytes taken, or `malformed_input`
    result<std::size_t> read(std::string_view bytes);

    /// @brief The peer closed its side in order.
    /// @return success when that completes an answer without a length
    result<void> read_end();

    [[nodiscard]] bool done() const;
    /// @brief True when at least one byte of an answer was read.
    [[nodiscard]] bool started() const;
    /// @brief True when the answer allows another one on this connection.
    [[nodiscard]] bool keep_alive() const;
    /// @brief True when only the end of the connection ends the answer.
    [[nodiscard]] bool ends_with_connection() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// @brief The head of a request with its body's length. Thread safe.
[[nodiscard]] std::string serialize_request_head(std::string_view method,
                                                 std::string_view target,
                                                 const header_list& headers,
                                                 std::size_t body_bytes);

/// @brief The head of an answer; the caller adds framing fields to `headers`.
[[nodiscard]] std::string serialize_response_head(unsigned status,
                                                  std::string_view reason,
                                                  const header_list& headers);

/// @brief Removes fields that concern one connection only, among them those
///     that `Connection` names, and the framing fields.
void remove_hop_by_hop_fields(header_list& headers);

/// @brief The usual reason phrase of a status.
[[nodiscard]] std::string_view reason_of(unsigned status) noexcept;

} // namespace bamboogate::net

#endif
