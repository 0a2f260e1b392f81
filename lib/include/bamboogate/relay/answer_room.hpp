#ifndef BAMBOOGATE_RELAY_ANSWER_ROOM_HPP
#define BAMBOOGATE_RELAY_ANSWER_ROOM_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1_server.hpp>
#include <bamboogate/relay/buffer_budget.hpp>
#include <bamboogate/relay/gate_metrics.hpp>
#include <bamboogate/relay/reader_pacing.hpp>

namespace bamboogate::relay {

/// The memory of a gate for answers: those that arrive from upstreams and those
/// that callers have not read. Applies `reader_pacing` to the connections of
/// the callers. Not thread safe.
class answer_room
{
public:
    /// @param loop, metrics must outlive this object
    answer_room(net::event_loop& loop, const reader_pacing::options& settings,
                gate_metrics& metrics);

    /// @brief Sets the server of the callers. @param server must outlive this
    ///     object or its last call
    void attach(net::http1_server& server) { server_ = &server; }

    /// @brief The budget of answers that arrive and are buffered as a whole.
    [[nodiscard]] buffer_budget& arriving() { return arriving_; }

    /// @brief Reserves memory for a part of such an answer; disconnects callers
    ///     that do not read if there is no room otherwise. Callbacks of their
    ///     requests are called.
    [[nodiscard]] bool reserve(buffer_reservation& answer, std::size_t bytes);

    /// @return whether no more is read for an answer with so many unread bytes
    [[nodiscard]] bool pauses(std::size_t unread_bytes) const
    {
        return pacing_.pauses(unread_bytes, used());
    }
    /// @return the unread bytes at which reading goes on
    [[nodiscard]] std::size_t resume_mark() const
    {
        return pacing_.resume_mark(used());
    }

    /// @brief Checks the budget after output was added; callers are
    ///     disconnected from the event loop.
    void note_output();

    /// @brief Disconnects callers that have not read for too long. Called
    ///     periodically.
    void check() { give_up_readers(0); }

    /// @return bytes of both kinds
    [[nodiscard]] std::size_t used() const
    {
        return arriving_.used() + unread_bytes();
    }
    [[nodiscard]] std::size_t unread_bytes() const
    {
        return server_ != nullptr ? server_->unread_bytes() : 0;
    }

private:
    void give_up_readers(std::size_t needed_bytes);

    net::event_loop& loop_;
    std::size_t budget_bytes_;
    reader_pacing pacing_;
    gate_metrics& metrics_;
    buffer_budget arriving_;
    net::http1_server* server_ = nullptr;
    net::timer shortage_timer_;
};

} // namespace bamboogate::relay

#endif
