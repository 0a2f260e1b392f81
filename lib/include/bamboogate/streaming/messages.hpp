#ifndef BAMBOOGATE_STREAMING_MESSAGES_HPP
#define BAMBOOGATE_STREAMING_MESSAGES_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/json.hpp>
#include <bamboogate/streaming/generation.hpp>
#include <bamboogate/streaming/generation_request.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Messages between gates. Fields that do not apply are empty or zero.

namespace bamboogate::streaming {

/// The finish of an answer as part of a message; `reason` is empty until the
/// answer is complete.
struct finish_fields
{
    std::string reason;
    std::uint64_t count = 0;
    std::uint64_t checksum = 0;
    std::uint64_t attempts = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(finish_fields, reason, count, checksum,
                                   attempts)
};

/// The engine attempt that runs at the owner. A gate that takes over cancels
/// it.
struct attempt_fields
{
    std::uint64_t number = 0;
    std::string address;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(attempt_fields, number, address)
};

/// Owner to buddy: a complete generation.
struct generation_copy
{
    static constexpr std::string_view type = "generation_copy";
    request_id id;
    lineage history;
    generation_request request;
    std::vector<std::string> tokens;
    attempt_fields attempt;
    finish_fields finish;
    /// Gates that may hold an earlier copy. The new buddy checks with them
    /// that none has taken the generation over.
    std::vector<node_id> previous_buddies;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(generation_copy, id, history, request,
                                   tokens, attempt, finish, previous_buddies)
};

/// Owner to buddy: tokens that follow those of the copy.
struct token_batch
{
    request_id id;
    std::uint64_t epoch = 0;
    std::uint64_t first_index = 0;
    std::vector<std::string> tokens;
    attempt_fields attempt;
    finish_fields finish;
};

/// Encoded as an array to keep it short, as one is sent per batch of tokens.
template <typename Json>
void to_json(Json& json, const token_batch& batch)
{
    json = Json::array({batch.id, batch.epoch, batch.first_index, batch.tokens,
                        batch.attempt.number, batch.attempt.address});
    if (!batch.finish.reason.empty()) {
        json.push_back(batch.finish);
    }
}
template <typename Json>
void from_json(const Json& json, token_batch& batch)
{
    json.at(0).get_to(batch.id);
    json.at(1).get_to(batch.epoch);
    json.at(2).get_to(batch.first_index);
    json.at(3).get_to(batch.tokens);
    json.at(4).get_to(batch.attempt.number);
    json.at(5).get_to(batch.attempt.address);
    if (json.size() > 6) {
        json.at(6).get_to(batch.finish);
    }
}

/// All batches of one iteration of the owner's event loop.
struct token_batches
{
    static constexpr std::string_view type = "token_batch";
    std::vector<token_batch> items;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(token_batches, items)
};

/// Buddy to owner: the tokens below `next_index` are held.
struct token_ack
{
    request_id id;
    std::uint64_t epoch = 0;
    std::uint64_t next_index = 0;
    bool finish_held = false;
};

template <typename Json>
void to_json(Json& json, const token_ack& ack)
{
    json = Json::array({ack.id, ack.epoch, ack.next_index, ack.finish_held});
}
template <typename Json>
void from_json(const Json& json, token_ack& ack)
{
    json.at(0).get_to(ack.id);
    json.at(1).get_to(ack.epoch);
    json.at(2).get_to(ack.next_index);
    json.at(3).get_to(ack.finish_held);
}

struct token_acks
{
    static constexpr std::string_view type = "token_ack";
    std::vector<token_ack> items;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(token_acks, items)
};

/// Buddy to owner: no copy is held; `full` when the memory limit is reached.
struct copy_missing
{
    static constexpr std::string_view type = "copy_missing";
    request_id id;
    std::uint64_t epoch = 0;
    bool full = false;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(copy_missing, id, epoch, full)
};

/// To an owner of an older epoch: stop releasing tokens.
struct superseded
{
    static constexpr std::string_view type = "superseded";
    request_id id;
    std::uint64_t epoch = 0; ///< the newer one
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(superseded, id, epoch)
};

/// Owner to a buddy: discard the copy.
struct generation_end
{
    static constexpr std::string_view type = "generation_end";
    request_id id;
    std::uint64_t epoch = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(generation_end, id, epoch)
};

/// New buddy to a previous one: release the copy.
struct copy_handoff
{
    static constexpr std::string_view type = "copy_handoff";
    request_id id;
    std::uint64_t epoch = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(copy_handoff, id, epoch)
};

/// `epoch` is greater than the requested one when the generation was taken
/// over.
struct copy_handoff_reply
{
    static constexpr std::string_view type = "copy_handoff_reply";
    std::uint64_t epoch = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(copy_handoff_reply, epoch)
};

/// The gate of a reconnecting caller to an owner or buddy.
struct attach_request
{
    static constexpr std::string_view type = "attach";
    request_id id;
    std::uint64_t from_index = 0;
    std::uint64_t epoch = 0;
    std::uint64_t stream = 0; ///< id of the stream at the requesting gate
    bool may_take_over = false;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(attach_request, id, from_index, epoch,
                                   stream, may_take_over)
};

struct attach_reply
{
    static constexpr std::string_view type = "attach_reply";
    std::uint64_t epoch = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(attach_reply, epoch)
};

/// Owner to the caller's gate: tokens of a forwarded stream, and its end.
struct forward_tokens
{
    static constexpr std::string_view type = "forward_tokens";
    request_id id;
    std::uint64_t stream = 0;
    std::uint64_t epoch = 0;
    std::uint64_t first_index = 0;
    std::vector<std::string> tokens;
    finish_fields finish;
    bool failed = false;
    std::uint16_t failure = 0; ///< an `errc`
    std::string failure_detail;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(forward_tokens, id, stream, epoch,
                                   first_index, tokens, finish, failed, failure,
                                   failure_detail)
};

/// The caller's gate to the owner: the caller has taken the tokens below
/// `next_index`, or has disconnected.
struct forward_credit
{
    static constexpr std::string_view type = "forward_credit";
    request_id id;
    std::uint64_t stream = 0;
    std::uint64_t next_index = 0;
    bool closed = false;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(forward_credit, id, stream, next_index,
                                   closed)
};

/// Any gate to a possible owner: the caller has cancelled the generation.
struct generation_cancel
{
    static constexpr std::string_view type = "generation_cancel";
    request_id id;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(generation_cancel, id)
};

[[nodiscard]] inline finish_fields
to_fields(const std::optional<finish_info>& info)
{
    return info ? finish_fields{info->finish_reason, info->count,
                                info->checksum, info->attempts}
                : finish_fields{};
}

[[nodiscard]] inline std::optional<finish_info>
from_fields(const finish_fields& fields)
{
    if (fields.reason.empty()) {
        return std::nullopt;
    }
    return finish_info{fields.reason, fields.count, fields.checksum,
                       fields.attempts};
}

} // namespace bamboogate::streaming

#endif
