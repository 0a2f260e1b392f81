#ifndef BAMBOOGATE_NET_HTTP1_CONNECTION_HPP
#define BAMBOOGATE_NET_HTTP1_CONNECTION_HPP

#include <bamboogate/net/connection_choice.hpp>
#include <bamboogate/net/http1_server.hpp>
#include <bamboogate/net/tcp_stream.hpp>

#include <memory>
#include <optional>
#include <string>

namespace bamboogate::net {

/// One accepted connection: reads a request, waits for its response, reads the
/// next request.
class http1_connection : public std::enable_shared_from_this<http1_connection>
{
public:
    explicit http1_connection(http1_server::impl& server);

    void start(int descriptor);
    void on_drain();
    void on_limits_changed();
    [[nodiscard]] bool has_request() const { return responder_ != nullptr; }

    void respond(unsigned status, header_list headers, std::string_view body);
    void begin_stream(unsigned status, std::string_view reason,
                      header_list headers);
    void write(std::string_view part);
    void finish();
    void abort();
    [[nodiscard]] std::size_t queued_bytes() const;
    void when_output_below(std::size_t bytes, std::function<void()> function);
    [[nodiscard]] std::optional<unread_output> unread() const;
    /// Closes the connection of a client that doesn't read.
    void disconnect();

    [[nodiscard]] std::uint64_t number() const { return number_; }
    [[nodiscard]] connection_state state() const;
    /// Room was found for the request that waits.
    void on_admitted();
    /// Refuses the request that is being received as not run.
    void refuse_without_room();
    /// Refuses a request whose sender is slow.
    void refuse_slow_sender();
    /// Closes a connection that serves no request, for another one.
    void close_for_another();

private:
    enum class phase : std::uint8_t
    {
        idle,      ///< no byte of a request received
        head,      ///< receiving a request head
        body,      ///< receiving a request body
        handling,  ///< the handler has the request
        lingering, ///< output is shut down, or will be once it is sent
        closed,
    };

    void on_data(std::string_view bytes);
    /// @param bytes that arrived after `pending_`
    void read_requests(std::string_view bytes);
    /// Continues with the request after a part of it was read.
    void proceed();
    /// Asks for the memory of the current request.
    /// @return false if it waits for room or was refused
    bool admit();
    /// Keeps input that follows the request in progress.
    void hold_next_requests(std::string_view bytes);
    /// Returns the memory of the request that has ended or was refused.
    void release_memory();
    void dispatch_request();
    void on_end();
    void on_timeout();
    void refuse(const error& problem);
    void refuse(unsigned status, header_list headers);
    void end_exchange();
    void begin_idle();
    void linger(server_close cause);
    /// Continues after a response, once the client has read enough of it.
    void read_next_request();
    void on_linger_timeout();
    void note_discarded_input();
    void close();
    void add_connection_field(header_list& headers);

    http1_server::impl& server_;
    http1_request_reader reader_;
    std::unique_ptr<tcp_stream> stream_;
    timer timer_;
    phase phase_ = phase::idle;
    time_point idle_since_;
    duration idle_allowed_{};
    std::uint64_t number_;
    time_point request_since_;    ///< first byte of the request
    bool waits_for_room_ = false; ///< reading is paused meanwhile
    bool drops_next_requests_ = false;
    bool unread_at_timeout_ = false; ///< idle only since it was read
    /// Unsent output when the linger time-out was last started.
    std::size_t linger_queued_ = 0;
    time_point lingers_since_;
    server_close close_cause_ = server_close::idle;
    bool input_discarded_ = false;
    std::string pending_; ///< input after the current request
    http1_responder_ptr responder_;
    bool keep_alive_ = true;
    bool head_request_ = false;
    bool close_announced_ = false;
    bool continue_sent_ = false;
};

struct http1_server::impl
{
    event_loop& loop;
    options settings;
    handler function;
    int listener = -1;
    std::unique_ptr<io_watcher> watcher;
    std::vector<std::shared_ptr<http1_connection>> connections;
    std::size_t active = 0;
    std::uint64_t next_number = 0;
    std::shared_ptr<std::size_t> unread_bytes =
        std::make_shared<std::size_t>(0);
    bool draining = false;
    std::unique_ptr<request_memory> memory; ///< null if it is not limited
    std::unique_ptr<timer> review_timer;

    void accept_connections(std::size_t limit);
    void remove(const http1_connection* connection);

    /// Closes a connection for a new one. @return false if none can be closed
    bool close_one_connection();
    /// Answers 503 on a connection beyond the limit, without reading.
    void refuse_connection(int descriptor);
    void limit_memory();
    void release_memory(std::uint64_t connection);
    void review_memory();
    void note(client_limit_action action) const;
};

} // namespace bamboogate::net

#endif
