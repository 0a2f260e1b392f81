#include <bamboogate/relay/answer_room.hpp>
#include <bamboogate/relay/log_events.hpp>

namespace bamboogate::relay {

answer_room::answer_room(net::event_loop& loop,
                         const reader_pacing::options& settings,
                         gate_metrics& metrics)
    : loop_(loop), budget_bytes_(settings.budget_bytes), pacing_(settings),
      metrics_(metrics), arriving_(settings.budget_bytes),
      shortage_timer_(loop, [this] { give_up_readers(0); })
{}

bool answer_room::reserve(buffer_reservation& answer, std::size_t bytes)
{
    if (used() + bytes > budget_bytes_) {
        give_up_readers(bytes);
    }
    return used() + bytes <= budget_bytes_ && answer.reserve(bytes);
}

void answer_room::note_output()
{
    if (pacing_.exhausted(used()) && !shortage_timer_.active()) {
        shortage_timer_.start_once(duration::zero());
    }
}

void answer_room::give_up_readers(std::size_t needed_bytes)
{
    if (server_ == nullptr || server_->unread_bytes() == 0) {
        return;
    }
    const time_point now = loop_.now();
    std::vector<slow_reader> readers;
    for (const auto& each : server_->unread_outputs()) {
        readers.push_back({.connection = each.connection,
                           .held_bytes = each.bytes,
                           .unread_for = now - each.unread_since});
    }
    for (const auto& each :
         pacing_.choose_given_up(readers, used(), needed_bytes)) {
        metrics_.given_up_callers.add();
        observability::log(
            log_events::reader_given_up,
            {{"cause", name_of(each.cause)},
             {"unread_bytes", each.reader.held_bytes},
             {"unread_ms", to_milliseconds(each.reader.unread_for)},
             {"answers_bytes", used()}});
        server_->disconnect(each.reader.connection);
    }
}

} // namespace bamboogate::relay
