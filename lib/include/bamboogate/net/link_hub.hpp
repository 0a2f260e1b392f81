#ifndef BAMBOOGATE_NET_LINK_HUB_HPP
#define BAMBOOGATE_NET_LINK_HUB_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/json.hpp>
#include <bamboogate/core/secret.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace bamboogate::net {

/// A message between processes: a struct with a type name and the conversion
/// functions of nlohmann::json.
template <typename T>
concept LinkMessage = requires(const T& message, json& document)
{
    {
        T::type
        } -> std::convertible_to<std::string_view>;
    to_json(document, message);
};

/// Identity that a peer sent in the handshake of a link.
struct peer_info
{
    node_id node;
    bamboogate::incarnation incarnation;
    failure_domain_id failure_domain;
};

/// How the last link to a peer ended.
struct link_end
{
    std::string_view cause;
    duration silent; ///< since the last input
};

/// All authenticated links of a process to its peers.
///
/// Both ends prove knowledge of the shared secret by an HMAC-SHA256 over both
/// nonces. A link sends a heartbeat when it has been idle for
/// `heartbeat_interval` and is closed after `heartbeat_timeout` without input,
/// so that a connection whose state a middlebox has dropped is replaced
/// promptly. Not thread safe: all calls come from the event loop's thread.
class link_hub
{
public:
    struct options
    {
        peer_info identity;
        secret shared_secret;
        duration heartbeat_interval = std::chrono::milliseconds(250);
        duration heartbeat_timeout = std::chrono::seconds(1);
        duration reconnect_interval = std::chrono::milliseconds(200);
        /// A connection that is not established after this time is dialled
        /// again. The system repeats a lost opening packet only after 1 s, and
        /// a machine without power loses all of them. The longest round trip
        /// is 24 ms.
        duration connect_timeout = std::chrono::milliseconds(150);
        std::size_t max_frame_bytes = 16u << 20;
        /// A link with more queued output than this is closed: the peer does
        /// not read.
        std::size_t max_queued_bytes = 64u << 20;
        /// Selects the peers whose links are handled before the other sockets
        /// of the loop, see `loop_priority`. Unset: none.
        std::function<bool(const node_id&)> is_control;
    };

    /// Messages and their encoded bytes, without the framing of the link.
    struct message_traffic
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    /// Totals since the start, for metrics and capacity planning.
    struct traffic
    {
        std::uint64_t messages_sent = 0;
        std::uint64_t messages_received = 0;
        std::uint64_t bytes_sent = 0;
        std::uint64_t bytes_received = 0;
        std::uint64_t links_closed_silent = 0; ///< after `heartbeat_timeout`
        /// Closed for malformed input or failed authentication.
        std::uint64_t links_refused = 0;
        /// Sent messages by their type; replies count as `reply`.
        std::map<std::string, message_traffic, std::less<>> sent_by_type;
    };

    link_hub(event_loop& loop, options settings);
    ~link_hub();
    link_hub(const link_hub&) = delete;
    link_hub& operator=(const link_hub&) = delete;

    /// @brief Accepts links on an address.
    /// @return the bound address, `invalid_argument` or `connection_failed`
    [[nodiscard]] result<address> listen(const address& endpoint);

    /// @brief Keeps a link to a peer open, reconnecting when it breaks. A later
    ///     call with another address takes effect at the next connection.
    void add_peer(const node_id& peer, const address& endpoint);

    /// @brief Stops connecting to a peer and closes its links.
    void remove_peer(const node_id& peer);

    /// @brief Sends a one-way message.
    /// @return false if no link to the peer is up; true does not guarantee
    ///     delivery
    template <LinkMessage Message>
    bool send(const node_id& peer, const Message& message)
    {
        return send_envelope(peer, Message::type, message_kind::one_way, 0,
                             json(message));
    }

    /// @brief Sets the handler of a one-way message type. One handler per type.
    ///     Messages that do not convert to the type are dropped.
    template <LinkMessage Message>
    void on(std::function<void(const peer_info&, Message)> handler)
    {
        add_handler(Message::type, [handler = std::move(handler)](
                                       const peer_info& peer, const json& body,
                                       const reply_sink&) {
            auto message = from_document<Message>(body);
            if (message) {
                handler(peer, std::move(message).value());
            }
        });
    }

    /// Sends the reply to one request; call it exactly once.
    template <LinkMessage Response>
    using reply_function = std::function<void(result<Response>)>;

    /// @brief Sets the handler of a request type; the reply may be sent later.
    ///     A request that does not convert gets the reply `malformed_input`.
    template <LinkMessage Request, LinkMessage Response>
    void serve(
        std::function<void(const peer_info&, Request, reply_function<Response>)>
            handler)
    {
        add_handler(Request::type, [handler = std::move(handler)](
                                       const peer_info& peer, const json& body,
                                       const reply_sink& sink) {
            auto request = from_document<Request>(body);
            if (!request) {
                sink(std::move(request).error());
                return;
            }
            handler(peer, std::move(request).value(),
                    [sink](result<Response> response) {
                        if (!response) {
                            sink(std::move(response).error());
                            return;
                        }
                        sink(json(response.value()));
                    });
        });
    }

    /// @brief Sends a request and passes its reply to a callback.
    /// @param deadline time allowed from now
    /// @param callback called exactly once, unless the hub is destroyed first,
    ///     and never from inside `call`: the reply, the peer's error
    ///     (`not_found` if it has no handler), `connection_failed` (no link,
    ///     not sent), `connection_lost`, `deadline_exceeded`, or
    ///     `malformed_input` for a reply of another type
    template <LinkMessage Request, LinkMessage Response>
    void call(const node_id& peer, const Request& request, duration deadline,
              std::function<void(result<Response>)> callback)
    {
        call_document(peer, Request::type, json(request), deadline,
                      [callback = std::move(callback)](result<json> reply) {
                          if (!reply) {
                              callback(std::move(reply).error());
                              return;
                          }
                          callback(from_document<Response>(reply.value()));
                      });
    }

    /// @brief Writes the messages that were sent as far as the sockets accept
    ///     them, for a process that may end before the next loop iteration.
    void flush();

    /// @brief Adds an observer of peers that become reachable or unreachable.
    void on_peer_state(std::function<void(const peer_info&, bool up)> handler);

    /// @brief Adds an observer of the end of the last link to a peer. Called
    ///     before the observers of `on_peer_state`.
    void on_peer_lost(
        std::function<void(const peer_info&, const link_end&)> handler);

    [[nodiscard]] bool is_up(const node_id& peer) const;

    /// @brief Peers with a link that is up, by node id.
    [[nodiscard]] std::vector<peer_info> peers_up() const;

    [[nodiscard]] const peer_info& self() const noexcept;
    [[nodiscard]] traffic totals() const noexcept;

    /// @brief Bytes queued for a peer that its socket has not accepted yet.
    [[nodiscard]] std::size_t queued_bytes(const node_id& peer) const;

private:
    enum class message_kind : std::uint8_t
    {
        one_way = 0,
        request = 1,
        reply = 2,
        error_reply = 3,
    };
    using reply_sink = std::function<void(result<json>)>;
    using handler =
        std::function<void(const peer_info&, const json&, const reply_sink&)>;

    void add_handler(std::string_view type, handler function);
    bool send_envelope(const node_id& peer, std::string_view type,
                       message_kind kind, std::uint64_t call_id, json body);
    void call_document(const node_id& peer, std::string_view type, json body,
                       duration deadline, reply_sink callback);

    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::net

#endif
