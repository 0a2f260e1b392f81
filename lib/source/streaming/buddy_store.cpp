#include <bamboogate/streaming/buddy_store.hpp>

#include <algorithm>

namespace bamboogate::streaming {

namespace {

// Map node, strings and vectors of one copy, without their contents.
constexpr std::size_t copy_overhead_bytes = 512;

std::size_t size_of(const std::vector<std::string>& tokens)
{
    std::size_t bytes = tokens.size() * sizeof(std::string);
    for (const auto& token : tokens) {
        // Short texts are stored within the string object.
        bytes += token.size() < sizeof(std::string) / 2 ? 0 : token.size();
    }
    return bytes;
}

} // namespace

buddy_store::reply buddy_store::put(generation_copy copy, const node_id& owner,
                                    bool confirmed, time_point now)
{
    if (copy.history.empty()) {
        return {};
    }
    const std::uint64_t epoch = copy.history.back().epoch;
    if (const auto known = known_epoch(copy.id); known > epoch) {
        return superseded{copy.id, known};
    }
    const std::size_t bytes =
        copy_overhead_bytes + copy.request.prompt.size() + size_of(copy.tokens);
    const auto found = copies_.find(copy.id);
    const std::size_t replaced =
        found == copies_.end() ? 0 : found->second.bytes;
    if (bytes_ - replaced + bytes > settings_.max_bytes) {
        erase(copy.id);
        return copy_missing{copy.id, epoch, true};
    }
    held_copy& held = copies_[copy.id];
    // A resent copy keeps an earlier confirmation.
    const bool was_confirmed = replaced != 0 && held.confirmed &&
                               held.epoch() == epoch && held.owner == owner;
    held.owner = owner;
    held.history = std::move(copy.history);
    held.request = std::move(copy.request);
    held.tokens = std::move(copy.tokens);
    held.attempt = std::move(copy.attempt);
    held.finish = from_fields(copy.finish);
    held.confirmed = confirmed || was_confirmed;
    held.last_contact = now;
    set_bytes(held, bytes);
    return ack_of(copy.id, held);
}

buddy_store::reply buddy_store::confirm(const request_id& id,
                                        std::uint64_t epoch)
{
    const auto found = copies_.find(id);
    if (found == copies_.end() || found->second.epoch() != epoch) {
        return {};
    }
    found->second.confirmed = true;
    return ack_of(id, found->second);
}

buddy_store::reply buddy_store::append(const token_batch& batch,
                                       const node_id& owner, time_point now)
{
    if (const auto known = known_epoch(batch.id); known > batch.epoch) {
        return superseded{batch.id, known};
    }
    const auto found = copies_.find(batch.id);
    if (found == copies_.end() || found->second.epoch() != batch.epoch ||
        found->second.owner != owner) {
        return copy_missing{batch.id, batch.epoch, false};
    }
    held_copy& held = found->second;
    held.last_contact = now;
    if (batch.first_index > held.tokens.size()) {
        return ack_of(batch.id, held);
    }
    const std::size_t known_tokens = held.tokens.size() - batch.first_index;
    std::size_t added = 0;
    for (std::size_t i = known_tokens; i < batch.tokens.size(); ++i) {
        added += sizeof(std::string) + batch.tokens[i].size();
        held.tokens.push_back(batch.tokens[i]);
    }
    set_bytes(held, held.bytes + added);
    if (batch.attempt.number > held.attempt.number) {
        held.attempt = batch.attempt;
    }
    if (!batch.finish.reason.empty() &&
        batch.finish.count == held.tokens.size()) {
        held.finish = from_fields(batch.finish);
    }
    if (bytes_ > settings_.max_bytes) {
        erase(batch.id);
        return copy_missing{batch.id, batch.epoch, true};
    }
    return ack_of(batch.id, held);
}

void buddy_store::discard(const request_id& id, std::uint64_t epoch)
{
    const auto found = copies_.find(id);
    if (found != copies_.end() && found->second.epoch() <= epoch) {
        erase(id);
    }
}

std::uint64_t buddy_store::release_copy(const request_id& id,
                                        std::uint64_t epoch)
{
    const std::uint64_t known = known_epoch(id);
    if (known <= epoch) {
        erase(id);
    }
    return known;
}

const held_copy* buddy_store::find(const request_id& id) const
{
    const auto found = copies_.find(id);
    return found == copies_.end() ? nullptr : &found->second;
}

held_copy buddy_store::extract_for_takeover(const request_id& id,
                                            std::uint64_t new_epoch,
                                            time_point now)
{
    const auto found = copies_.find(id);
    held_copy copy = std::move(found->second);
    bytes_ -= copy.bytes;
    copies_.erase(found);
    record_epoch(id, new_epoch, now);
    return copy;
}

void buddy_store::record_epoch(const request_id& id, std::uint64_t epoch,
                               time_point now)
{
    const auto [entry, added] = epochs_.try_emplace(id);
    entry->second.epoch = std::max(entry->second.epoch, epoch);
    entry->second.expires = now + settings_.epoch_retention;
    if (!added) {
        return;
    }
    epoch_order_.push_back(id);
    while (epochs_.size() > settings_.max_epochs) {
        epochs_.erase(epoch_order_.front());
        epoch_order_.pop_front();
    }
}

void buddy_store::expire(time_point now,
                         const std::function<bool(const node_id&)>& is_up)
{
    std::vector<request_id> expired;
    for (auto& [id, copy] : copies_) {
        if (is_up(copy.owner)) {
            copy.last_contact = now;
        } else if (now - copy.last_contact > settings_.orphan_limit) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        erase(id);
    }
    while (!epoch_order_.empty()) {
        const auto oldest = epochs_.find(epoch_order_.front());
        if (oldest != epochs_.end() && oldest->second.expires > now) {
            break;
        }
        if (oldest != epochs_.end()) {
            epochs_.erase(oldest);
        }
        epoch_order_.pop_front();
    }
}

std::uint64_t buddy_store::known_epoch(const request_id& id) const
{
    std::uint64_t epoch = 0;
    if (const auto found = epochs_.find(id); found != epochs_.end()) {
        epoch = found->second.epoch;
    }
    if (const auto found = copies_.find(id); found != copies_.end()) {
        epoch = std::max(epoch, found->second.epoch());
    }
    return epoch;
}

buddy_store::reply buddy_store::ack_of(const request_id& id,
                                       const held_copy& copy)
{
    if (!copy.confirmed) {
        return {};
    }
    return token_ack{id, copy.epoch(), copy.tokens.size(),
                     copy.finish.has_value()};
}

void buddy_store::set_bytes(held_copy& copy, std::size_t bytes)
{
    bytes_ += bytes - copy.bytes;
    copy.bytes = bytes;
}

void buddy_store::erase(const request_id& id)
{
    const auto found = copies_.find(id);
    if (found != copies_.end()) {
        bytes_ -= found->second.bytes;
        copies_.erase(found);
    }
}

} // namespace bamboogate::streaming
