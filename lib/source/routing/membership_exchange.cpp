#include <bamboogate/routing/log_events.hpp>
#include <bamboogate/routing/membership_exchange.hpp>

#include <algorithm>

namespace bamboogate::routing {

namespace {

constexpr std::size_t max_items_per_message = 8192;

json to_document(const announcement_position& position)
{
    return json::array({position.incarnation.value, position.sequence});
}

announcement_position position_from(const json& document)
{
    return {incarnation{document.at(0).get<std::uint64_t>()},
            document.at(1).get<std::uint64_t>()};
}

json to_document(const std::vector<suspicion>& list)
{
    json items = json::array();
    for (const suspicion& item : list) {
        items.push_back(
            {{"id", item.id}, {"last_known", to_document(item.last_known)}});
    }
    return items;
}

std::vector<suspicion> suspicions_from(const json& document)
{
    if (document.size() > max_items_per_message) {
        throw json::other_error::create(501, "too many items", &document);
    }
    std::vector<suspicion> list;
    for (const json& item : document) {
        list.push_back({item.at("id").get<upstream_id>(),
                        position_from(item.at("last_known"))});
    }
    return list;
}

// Encoded size without the parts of variable length.
constexpr std::size_t entry_overhead_bytes = 220;
constexpr std::size_t departure_bytes = 40;

std::size_t estimated_bytes(const table_delta::entry& entry)
{
    std::size_t bytes = entry_overhead_bytes + entry.latest.id.value().size() +
                        24 * entry.latest.cache_events.events.size();
    for (const model_id& model : entry.latest.models) {
        bytes += model.value().size() + 2;
    }
    return bytes;
}

void log_change(table_event event, const upstream_record& record)
{
    const observability::log_event* kind = nullptr;
    switch (event) {
    case table_event::joined:
        kind = &log_events::upstream_joined;
        break;
    case table_event::recovered:
        kind = &log_events::upstream_recovered;
        break;
    case table_event::suspected:
        kind = &log_events::upstream_suspected;
        break;
    case table_event::left:
        kind = &log_events::upstream_left;
        break;
    case table_event::removed:
        kind = &log_events::upstream_removed;
        break;
    case table_event::updated:
        return;
    }
    observability::log(
        *kind, {{"upstream", record.latest.id.value()},
                {"incarnation", record.latest.incarnation.value},
                {"sequence", record.latest.sequence},
                {"failure_domain", record.latest.failure_domain.value()}});
}

} // namespace

void to_json(json& document, const upstream_delta& message)
{
    json entries = json::array();
    for (const auto& entry : message.delta.entries) {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(entry.age);
        entries.push_back(
            {{"age_ms", age.count()}, {"news", to_document(entry.latest)}});
    }
    json departures = json::array();
    for (const tombstone& grave : message.delta.departures) {
        departures.push_back(
            {{"id", grave.id}, {"void_until", to_document(grave.void_until)}});
    }
    document = {{"entries", std::move(entries)},
                {"departures", std::move(departures)}};
}

void from_json(const json& document, upstream_delta& message)
{
    const json& entries = document.at("entries");
    const json& departures = document.at("departures");
    if (entries.size() + departures.size() > max_items_per_message) {
        throw json::other_error::create(501, "too many items", &document);
    }
    for (const json& item : entries) {
        auto news = announcement_from(item.at("news"));
        // One bad entry, such as one of a newer version of the software, must
        // not keep out the others.
        if (!news) {
            observability::log(log_events::delta_refused,
                               {{"detail", news.error().detail}});
            continue;
        }
        const std::chrono::milliseconds age(
            item.at("age_ms").get<std::int64_t>());
        message.delta.entries.push_back({std::move(news).value(), age});
    }
    for (const json& item : departures) {
        message.delta.departures.push_back(
            {.id = item.at("id").get<upstream_id>(),
             .void_until = position_from(item.at("void_until"))});
    }
}

void to_json(json& document, const upstream_suspect& message)
{
    document = {{"list", to_document(message.list)},
                {"quiet", to_document(message.quiet)}};
}

void from_json(const json& document, upstream_suspect& message)
{
    message.list = suspicions_from(document.at("list"));
    message.quiet = suspicions_from(document.at("quiet"));
}

std::vector<table_delta> split_delta(table_delta delta, std::size_t max_bytes)
{
    std::vector<table_delta> parts;
    std::size_t bytes = 0;
    auto part_for = [&](std::size_t size) -> table_delta& {
        if (parts.empty() || bytes + size > max_bytes) {
            parts.emplace_back().sender_version = delta.sender_version;
            bytes = 0;
        }
        bytes += size;
        return parts.back();
    };
    for (tombstone& grave : delta.departures) {
        const std::size_t size = departure_bytes + grave.id.value().size();
        part_for(size).departures.push_back(std::move(grave));
    }
    for (table_delta::entry& entry : delta.entries) {
        // Cache events are a hint; an oversized batch is left out, and the
        // index of that engine starts anew with the next one.
        if (estimated_bytes(entry) > max_bytes) {
            entry.latest.cache_events = {};
        }
        const std::size_t size = estimated_bytes(entry);
        part_for(size).entries.push_back(std::move(entry));
    }
    return parts;
}

membership_exchange::membership_exchange(net::event_loop& loop,
                                         net::link_hub& hub,
                                         upstream_table& table,
                                         options settings)
    : loop_(loop), hub_(hub), table_(table), settings_(settings),
      flush_timer_(loop, [this] { flush(); }),
      silence_timer_(loop, [this] { check_silence(); })
{
    hub_.on<upstream_delta>(
        [this](const net::peer_info& peer, const upstream_delta& message) {
            on_delta(peer, message.delta);
        });
    hub_.on<upstream_suspect>(
        [this](const net::peer_info& peer, const upstream_suspect& message) {
            on_suspicions(peer, message);
        });
    hub_.on_peer_state([this](const net::peer_info& peer, bool up) {
        if (up) {
            send_to(peer.node, table_.changes_since(0, loop_.now()));
        }
    });
    table_.on_event([](table_event event, const upstream_record& record) {
        log_change(event, record);
    });
    silence_timer_.start_periodic(settings_.suspicion_interval);
}

update_result membership_exchange::announce(announcement news)
{
    const upstream_id id = news.id;
    const bool draining = news.draining;
    const auto* before = table_.find(id);
    const bool was_draining = before != nullptr && before->latest.draining;
    const update_result taken = table_.announce(std::move(news), loop_.now());
    if (taken != update_result::accepted) {
        return taken;
    }
    pending_.push_back(id);
    if (draining && !was_draining) {
        flush();
    } else if (!flush_timer_.active()) {
        flush_timer_.start_once(settings_.flush_interval);
    }
    return taken;
}

update_result membership_exchange::leave(const upstream_id& id,
                                         incarnation life)
{
    const update_result taken = table_.leave(id, life, loop_.now());
    if (taken == update_result::accepted) {
        send_to_all(table_.changes_of({id}, loop_.now()), {});
    }
    return taken;
}

void membership_exchange::on_delta(const net::peer_info& peer,
                                   const table_delta& delta)
{
    const std::uint64_t before = table_.version();
    if (table_.merge(delta, loop_.now()) == 0) {
        return;
    }
    table_delta onward = table_.changes_since(before, loop_.now());
    std::erase_if(onward.entries, [](const table_delta::entry& entry) {
        return !entry.latest.draining;
    });
    if (!onward.empty()) {
        send_to_all(onward, peer.node);
    }
}

void membership_exchange::on_suspicions(const net::peer_info& peer,
                                        const upstream_suspect& message)
{
    auto newer =
        table_.receive_suspicions(peer.node, message.list, loop_.now());
    for (const upstream_id& id : table_.newer_than(message.quiet)) {
        newer.push_back(id);
    }
    if (!newer.empty()) {
        send_to(peer.node, table_.changes_of(newer, loop_.now()));
    }
}

void membership_exchange::flush()
{
    flush_timer_.stop();
    std::sort(pending_.begin(), pending_.end());
    pending_.erase(std::unique(pending_.begin(), pending_.end()),
                   pending_.end());
    const auto announced = std::move(pending_);
    pending_.clear();
    send_to_all(table_.changes_of(announced, loop_.now()), {});
}

void membership_exchange::check_silence()
{
    table_.expire(loop_.now());
    upstream_suspect message{table_.suspicions(), table_.overdue(loop_.now())};
    std::erase_if(message.quiet, [&](const suspicion& item) {
        const auto* record = table_.find(item.id);
        return record == nullptr || record->suspected;
    });
    if (message.list.empty() && message.quiet.empty() && !suspicions_sent_) {
        return;
    }
    suspicions_sent_ = !message.list.empty();
    for (const net::peer_info& peer : hub_.peers_up()) {
        hub_.send(peer.node, message);
    }
}

void membership_exchange::send_to(const node_id& peer, const table_delta& delta)
{
    for (auto& part : split_delta(delta, settings_.max_message_bytes)) {
        hub_.send(peer, upstream_delta{std::move(part)});
    }
}

void membership_exchange::send_to_all(const table_delta& delta,
                                      const node_id& except)
{
    const auto parts = split_delta(delta, settings_.max_message_bytes);
    for (const net::peer_info& peer : hub_.peers_up()) {
        if (peer.node == except) {
            continue;
        }
        for (const table_delta& part : parts) {
            hub_.send(peer.node, upstream_delta{part});
        }
    }
}

} // namespace bamboogate::routing
