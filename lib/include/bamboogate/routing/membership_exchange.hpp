#ifndef BAMBOOGATE_ROUTING_MEMBERSHIP_EXCHANGE_HPP
#define BAMBOOGATE_ROUTING_MEMBERSHIP_EXCHANGE_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/routing/upstream_table.hpp>

#include <map>
#include <vector>

namespace bamboogate::routing {

/// Changes of the upstream table, sent to another gate.
struct upstream_delta
{
    static constexpr std::string_view type = "upstream_delta";
    table_delta delta;
};
void to_json(json& document, const upstream_delta& message);
void from_json(const json& document, upstream_delta& message);

/// All suspicions of the sender; replaces its previous list.
struct upstream_suspect
{
    static constexpr std::string_view type = "upstream_suspect";
    std::vector<suspicion> list;
    /// Overdue but not yet suspected; the sender requests newer announcements
    /// of these.
    std::vector<suspicion> quiet;
};
void to_json(json& document, const upstream_suspect& message);
void from_json(const json& document, upstream_suspect& message);

/// @brief Splits a delta into parts of bounded size, departures first.
/// @param max_bytes limit on the estimated encoded size of a part
[[nodiscard]] std::vector<table_delta> split_delta(table_delta delta,
                                                   std::size_t max_bytes);

/// Synchronizes the upstream tables of all gates.
///
/// An announcement that this gate receives from an upstream is sent to all
/// gates directly. Departures and drains are forwarded once more by each gate
/// that learns of one, so they arrive while some path exists. Other
/// announcements are forwarded only when a gate requests them because an
/// upstream is overdue; this keeps the traffic linear in the number of gates.
/// Not thread safe: all calls come from the loop's thread.
class membership_exchange
{
public:
    struct options
    {
        duration flush_interval = std::chrono::milliseconds(100);
        /// Also bounds how long a false suspicion persists at a peer.
        duration suspicion_interval = std::chrono::milliseconds(500);
        std::size_t max_message_bytes = 256u << 10;
    };

    /// @param table must be changed through this object only; it, the loop and
    ///     the hub must outlive this object
    membership_exchange(net::event_loop& loop, net::link_hub& hub,
                        upstream_table& table, options settings);

    /// @brief Applies an announcement received from an upstream and schedules
    ///     it for the other gates; the start of a drain is sent at once.
    update_result announce(announcement received);

    /// @brief Applies a leave received from an upstream and sends it to the
    ///     other gates at once.
    update_result leave(const upstream_id& id,
                        incarnation upstream_incarnation);

private:
    void on_delta(const net::peer_info& peer, const table_delta& delta);
    void on_suspicions(const net::peer_info& peer,
                       const upstream_suspect& message);
    void flush();
    void check_timeouts();
    void send_to(const node_id& peer, const table_delta& delta);
    void send_to_all(const table_delta& delta, const node_id& excluded);

    net::event_loop& loop_;
    net::link_hub& hub_;
    upstream_table& table_;
    options settings_;
    std::vector<upstream_id> pending_; ///< announced here since the last flush
    bool suspicions_sent_ = false;
    net::timer flush_timer_;
    net::timer timeout_timer_;
};

} // namespace bamboogate::routing

#endif
