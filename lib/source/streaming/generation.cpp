#include <bamboogate/streaming/generation.hpp>

#include <xxhash.h>

#include <algorithm>
#include <memory>

namespace bamboogate::streaming {

namespace {

// An epoch is a counter above a hash of the owner.
constexpr unsigned owner_bits = 16;
constexpr std::uint64_t owner_mask = (1u << owner_bits) - 1;
constexpr unsigned attempts_per_epoch_bits = 12;

std::uint64_t owner_hash(const node_id& owner)
{
    return XXH64(owner.value().data(), owner.value().size(), 0) & owner_mask;
}

} // namespace

std::uint64_t first_epoch(const node_id& owner)
{
    return (std::uint64_t{1} << owner_bits) | owner_hash(owner);
}

std::uint64_t next_epoch(std::uint64_t epoch, const node_id& owner)
{
    return (((epoch >> owner_bits) + 1) << owner_bits) | owner_hash(owner);
}

std::uint64_t first_attempt(std::uint64_t epoch)
{
    const std::uint64_t counter = epoch >> owner_bits;
    return ((counter - 1) << attempts_per_epoch_bits) + 1;
}

result<void> check_lineage(const lineage& own, std::uint64_t from_index,
                           std::uint64_t epoch)
{
    if (epoch == 0) {
        return outcome::success();
    }
    const auto seen = std::find_if(
        own.begin(), own.end(),
        [epoch](const lineage_entry& entry) { return entry.epoch == epoch; });
    if (seen == own.end()) {
        return fail(errc::superseded, "the caller knows another epoch");
    }
    const auto later = std::next(seen);
    if (later != own.end() && from_index > later->first_index) {
        return fail(errc::superseded,
                    "the caller has tokens that were not taken over");
    }
    return outcome::success();
}

std::uint64_t checksum_of(std::span<const std::string> tokens)
{
    const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(
        XXH64_createState(), &XXH64_freeState);
    XXH64_reset(state.get(), 0);
    for (const auto& token : tokens) {
        XXH64_update(state.get(), token.data(), token.size());
    }
    return XXH64_digest(state.get());
}

generation::generation(std::uint64_t epoch)
    : lineage_{{epoch, 0}}, attempt_(first_attempt(epoch) - 1)
{}

generation::generation(lineage held, std::uint64_t epoch,
                       std::vector<std::string> tokens,
                       std::optional<finish_info> finish)
    : lineage_(std::move(held)), tokens_(std::move(tokens)),
      finish_(std::move(finish)), attempt_(first_attempt(epoch) - 1)
{
    lineage_.push_back({epoch, tokens_.size()});
}

std::uint64_t generation::begin_attempt(std::uint64_t first_index)
{
    ++attempts_started_;
    attempt_running_ = true;
    attempt_next_ = first_index;
    return ++attempt_;
}

generation::event_result generation::on_token(std::uint64_t attempt,
                                              std::uint64_t index,
                                              std::string text)
{
    if (!attempt_running_ || attempt != attempt_ || superseded_ || finish_) {
        return event_result::stale;
    }
    if (index != attempt_next_) {
        return event_result::out_of_order;
    }
    ++attempt_next_;
    // An attempt that started at 0 generates the prefix anew.
    if (index >= tokens_.size()) {
        tokens_.push_back(std::move(text));
    }
    return event_result::accepted;
}

generation::event_result generation::on_finish(std::uint64_t attempt,
                                               std::string reason,
                                               std::uint64_t count)
{
    if (!attempt_running_ || attempt != attempt_ || superseded_ || finish_) {
        return event_result::stale;
    }
    if (count != attempt_next_ || count != tokens_.size()) {
        return event_result::out_of_order;
    }
    attempt_running_ = false;
    finish_ = finish_info{std::move(reason), count, checksum_of(tokens_),
                          attempts_started_};
    return event_result::accepted;
}

void generation::require_buddy(bool required)
{
    buddy_required_ = required;
    acknowledged_ = 0;
    finish_acknowledged_ = false;
}

void generation::on_ack(std::uint64_t next_index, bool finish_held)
{
    acknowledged_ = std::max(
        acknowledged_, std::min<std::uint64_t>(next_index, tokens_.size()));
    finish_acknowledged_ = finish_acknowledged_ || (finish_held && finish_);
}

bool generation::fully_acknowledged() const
{
    return acknowledged_ == tokens_.size() &&
           (!finish_ || finish_acknowledged_);
}

std::uint64_t generation::releasable() const
{
    if (superseded_) {
        return released_;
    }
    return buddy_required_ ? acknowledged_ : tokens_.size();
}

std::string_view generation::release_next()
{
    return tokens_[released_++];
}

bool generation::may_finish() const
{
    return finish_ && !superseded_ && released_ == tokens_.size() &&
           (!buddy_required_ || finish_acknowledged_);
}

void generation::supersede()
{
    superseded_ = true;
    attempt_running_ = false;
}

} // namespace bamboogate::streaming
