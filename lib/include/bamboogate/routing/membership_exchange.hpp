#ifndef BAMBOOGATE_ROUTING_MEMBERSHIP_EXCHANGE_HPP
#define BAMBOOGATE_ROUTING_MEMBERSHIP_EXCHANGE_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/routing/upstream_table.hpp>

#include <map>
#include <vector>

namespace bamboogate::routing {

/// Membership news for another gate.
struct upstream_delta
{
    static constexpr std::string_view type = "upstream_delta";
    table_delta delta;
};
void to_json(json& document, const upstream_delta& message);
void from_json(const json& document, upstream_delta& message);

/// Everything that the sender suspects; replaces its earlier list.
struct upstream_suspect
{
    static constexpr std::string_view type = "upstream_suspect";
    std::vector<suspicion> list;
    /// Not suspected yet; the sender asks for newer news of them.
    std::vector<suspicion> quiet;
};
void to_json(json& document, const upstream_suspect& message);
void from_json(const json& document, upstream_suspect& message);

/// @brief Splits a delta into parts of bounded size, departures first.
/// @param max_bytes estimate of the encoded size per part
[[nodiscard]] std::vector<table_delta> split_delta(table_delta delta,
                                                   std::size_t max_bytes);

/// The task that keeps the tables of all gates alike.
///
/// News that an upstream gave to this gate goes to every gate directly.
/// Departures are passed on once more by each gate that learns of one, so they
/// arrive while some path exists. Other news is passed on when a gate asks
/// because an upstream has gone quiet: this keeps the traffic linear in the
/// gates. Not thread safe: all calls come from the loop's thread.
class membership_exchange
{
public:
    struct options
    {
        duration flush_interval = std::chrono::milliseconds(100);
        /// Also the bound on how long a wrong suspicion lasts at a peer.
        duration suspicion_interval = std::chrono::milliseconds(500);
        std::size_t max_message_bytes = 256u << 10;
    };

    /// @param table must be changed through this object only; it, the loop and
    ///     the hub must outlive this object
    membership_exchange(net::event_loop& loop, net::link_hub& hub,
                        upstream_table& table, options settings);

    /// @brief Takes an announcement from an upstream and spreads it.
    update_result announce(announcement news);

    /// @brief Takes a leave from an upstream and spreads it at once.
    update_result leave(const upstream_id& id, incarnation life);

private:
    void on_delta(const net::peer_info& peer, const table_delta& delta);
    void on_suspicions(const net::peer_info& peer,
                       const upstream_suspect& message);
    void flush();
    void check_silence();
    void send_to(const node_id& peer, const table_delta& delta);
    void send_to_all(const table_delta& delta, const node_id& except);

    net::event_loop& loop_;
    net::link_hub& hub_;
    upstream_table& table_;
    options settings_;
    std::vector<upstream_id> pending_; ///< announced here since the last flush
    bool suspicions_sent_ = false;
    net::timer flush_timer_;
    net::timer silence_timer_;
};

} // namespace bamboogate::routing

#endif
