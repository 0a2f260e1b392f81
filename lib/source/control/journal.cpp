#include <bamboogate/control/journal.hpp>
#include <bamboogate/core/secret.hpp>

#include <algorithm>
#include <cstring>
#include <utility>

#include "byte_packer.hpp"

namespace bamboogate::control {

namespace {

constexpr std::uint64_t pack_version = 1;

template <std::size_t Size>
std::array<unsigned char, Size> short_sha256(std::string_view text)
{
    static_assert(Size <= sizeof(digest));
    const digest full = sha256(text);
    std::array<unsigned char, Size> out;
    std::memcpy(out.data(), full.data(), Size);
    return out;
}

/// Joins two strings unambiguously: different pairs give different results.
std::string join(std::string_view first, std::string_view second)
{
    return std::to_string(first.size()) + ':' + std::string(first) +
           std::string(second);
}

template <std::size_t Size>
std::string_view as_view(const std::array<unsigned char, Size>& bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), Size};
}

std::string encode_answer(const stored_answer& answer)
{
    byte_packer out;
    out.number(answer.status);
    out.number(answer.headers.size());
    for (const auto& [name, value] : answer.headers) {
        out.text(name);
        out.text(value);
    }
    out.text(answer.body);
    return std::move(out.bytes);
}

stored_answer decode_answer(std::string_view bytes)
{
    byte_unpacker in(bytes);
    stored_answer out;
    out.status = static_cast<unsigned>(in.number());
    const std::uint64_t headers = in.number();
    for (std::uint64_t i = 0; i < headers && !in.failed(); ++i) {
        std::string name(in.text());
        out.headers.emplace_back(std::move(name), in.text());
    }
    out.body = std::string(in.text());
    return out;
}

} // namespace

journal::short_digest journal::key_of(const call_ticket& ticket)
{
    return short_sha256<16>(
        join(ticket.account.value(), ticket.idempotency_key));
}

std::uint64_t journal::owner_hash_of(const call_ticket& ticket)
{
    const auto bytes = short_sha256<8>(join(
        ticket.gate.value(), std::to_string(ticket.gate_incarnation.value)));
    byte_unpacker in(as_view(bytes));
    return in.number();
}

bool journal::owns(const call_ticket& ticket, const entry& found)
{
    return found.call_number == ticket.call_number &&
           found.owner_hash == owner_hash_of(ticket);
}

call_decision journal::run_decision(const call_begin& request)
{
    return {.kind = decision_kind::run, .ticket = request.ticket, .answer = {}};
}

result<call_decision> journal::begin(const call_begin& request,
                                     milliseconds retention,
                                     const state_limits& limits)
{
    const short_digest key = key_of(request.ticket);
    const short_digest body =
        short_sha256<16>(join(request.service.value(), request.body_digest));
    auto found = entries_.find(key);
    if (found != entries_.end()) {
        // Recorded by an abort before any begin, so the body is unknown.
        const bool abort_only = found->second.body == short_digest{};
        if (!abort_only && found->second.body != body) {
            return call_decision{
                .kind = decision_kind::key_reused, .ticket = {}, .answer = {}};
        }
        if (found->second.current != state::aborted ||
            owns(request.ticket, found->second)) {
            return decide_existing(request, found->second);
        }
    } else {
        if (entries_.size() >= limits.journal_entries ||
            answer_bytes_ >= limits.total_answer_bytes) {
            return fail(errc::overloaded, "the idempotency journal is full");
        }
        found = entries_.try_emplace(key).first;
    }
    auto& created = found->second;
    created.body = body;
    created.owner_hash = owner_hash_of(request.ticket);
    created.call_number = request.ticket.call_number;
    created.retention_ms = static_cast<std::uint64_t>(retention.count());
    created.expires_ms = 0;
    created.current = state::intent;
    open_[{request.ticket.gate, request.ticket.gate_incarnation}].insert(key);
    return run_decision(request);
}

result<call_decision> journal::decide_existing(const call_begin& request,
                                               entry& found)
{
    switch (found.current) {
    case state::intent:
        if (owns(request.ticket, found)) {
            return run_decision(request);
        }
        return call_decision{
            .kind = decision_kind::in_progress, .ticket = {}, .answer = {}};
    case state::complete:
        if (!found.answer) {
            return fail(errc::limit_exceeded,
                        "the call ran; its answer was too large to keep");
        }
        return call_decision{.kind = decision_kind::answered,
                             .ticket = {},
                             .answer = decode_answer(*found.answer)};
    case state::unknown:
        return call_decision{
            .kind = decision_kind::unknown, .ticket = {}, .answer = {}};
    case state::aborted:
        break;
    }
    return fail(errc::not_run, "this attempt was aborted");
}

result<journal::entry_map::iterator>
journal::find_owned(const call_ticket& ticket)
{
    const auto found = entries_.find(key_of(ticket));
    if (found == entries_.end()) {
        return fail(errc::not_found, "no call with this key");
    }
    if (!owns(ticket, found->second)) {
        return fail(errc::superseded, "another attempt owns this call");
    }
    return found;
}

void journal::close_intent(const owner& call_owner, const short_digest& key)
{
    const auto found = open_.find(call_owner);
    if (found == open_.end()) {
        return;
    }
    found->second.erase(key);
    if (found->second.empty()) {
        open_.erase(found);
    }
}

void journal::end_call(const call_ticket& ticket, entry_map::iterator found,
                       state end, std::uint64_t now_ms)
{
    close_intent({ticket.gate, ticket.gate_incarnation}, found->first);
    auto& ended = found->second;
    ended.current = end;
    ended.expires_ms =
        now_ms + (end == state::aborted
                      ? std::min(aborted_retention_ms, ended.retention_ms)
                      : ended.retention_ms);
}

result<void> journal::complete(const call_complete& request,
                               std::uint64_t now_ms, const state_limits& limits)
{
    BOOST_OUTCOME_TRY(found, find_owned(request.ticket));
    if (found->second.current == state::complete) {
        return outcome::success();
    }
    if (found->second.current == state::aborted) {
        return fail(errc::superseded, "the call was aborted");
    }
    end_call(request.ticket, found, state::complete, now_ms);
    std::string answer = encode_answer(request.answer);
    if (answer.size() <= limits.answer_bytes) {
        answer_bytes_ += answer.size();
        found->second.answer = std::make_unique<std::string>(std::move(answer));
    }
    return outcome::success();
}

result<void> journal::mark_unknown(const call_ticket& ticket,
                                   std::uint64_t now_ms)
{
    BOOST_OUTCOME_TRY(found, find_owned(ticket));
    if (found->second.current == state::intent) {
        end_call(ticket, found, state::unknown, now_ms);
    }
    return outcome::success();
}

result<void> journal::abort(const call_ticket& ticket, std::uint64_t now_ms)
{
    const short_digest key = key_of(ticket);
    if (!entries_.contains(key)) {
        auto& aborted = entries_[key];
        aborted.owner_hash = owner_hash_of(ticket);
        aborted.call_number = ticket.call_number;
        aborted.retention_ms = aborted_retention_ms;
        aborted.expires_ms = now_ms + aborted_retention_ms;
        aborted.current = state::aborted;
        return outcome::success();
    }
    BOOST_OUTCOME_TRY(found, find_owned(ticket));
    if (found->second.current == state::complete) {
        return fail(errc::superseded, "the call has an answer");
    }
    if (found->second.current != state::aborted) {
        end_call(ticket, found, state::aborted, now_ms);
    }
    return outcome::success();
}

std::size_t journal::end_incarnation(const node_id& gate,
                                     bamboogate::incarnation last,
                                     std::uint64_t now_ms)
{
    std::size_t marked = 0;
    auto at = open_.lower_bound({gate, bamboogate::incarnation{0}});
    while (at != open_.end() && at->first.gate == gate &&
           at->first.incarnation <= last) {
        for (const auto& key : at->second) {
            auto& ended = entries_.at(key);
            ended.current = state::unknown;
            ended.expires_ms = now_ms + ended.retention_ms;
            ++marked;
        }
        at = open_.erase(at);
    }
    return marked;
}

std::size_t journal::expire(std::uint64_t now_ms)
{
    // Scans all entries: it runs only once per clock step, and an index by time
    // would need more memory than the entries.
    return std::erase_if(entries_, [this, now_ms](const auto& item) {
        const entry& each = item.second;
        if (each.current == state::intent || each.expires_ms > now_ms) {
            return false;
        }
        answer_bytes_ -= each.answer ? each.answer->size() : 0;
        return true;
    });
}

std::set<journal::owner> journal::open_owners() const
{
    std::set<owner> out;
    for (const auto& [call_owner, keys] : open_) {
        out.insert(call_owner);
    }
    return out;
}

std::string journal::pack() const
{
    byte_packer out;
    out.number(pack_version);
    out.number(entries_.size());
    for (const auto& [key, each] : entries_) {
        out.raw(as_view(key));
        out.raw(as_view(each.body));
        out.number(each.owner_hash);
        out.number(each.call_number);
        out.number(each.retention_ms);
        out.number(each.expires_ms);
        out.number(static_cast<std::uint64_t>(each.current));
        out.number(each.answer ? 1 : 0);
        if (each.answer) {
            out.text(*each.answer);
        }
    }
    out.number(open_.size());
    for (const auto& [call_owner, keys] : open_) {
        out.text(call_owner.gate.value());
        out.number(call_owner.incarnation.value);
        out.number(keys.size());
        for (const auto& key : keys) {
            out.raw(as_view(key));
        }
    }
    return std::move(out.bytes);
}

result<void> journal::unpack(std::string_view bytes)
{
    byte_unpacker in(bytes);
    journal read;
    auto read_digest = [&in] {
        short_digest out{};
        const auto raw = in.raw(out.size());
        std::copy(raw.begin(), raw.end(), out.begin());
        return out;
    };
    if (in.number() != pack_version) {
        return fail(errc::malformed_input, "unsupported journal version");
    }
    const std::uint64_t count = in.number();
    for (std::uint64_t i = 0; i < count && !in.failed(); ++i) {
        const short_digest key = read_digest();
        entry& each = read.entries_[key];
        each.body = read_digest();
        each.owner_hash = in.number();
        each.call_number = in.number();
        each.retention_ms = in.number();
        each.expires_ms = in.number();
        const std::uint64_t current = in.number();
        if (current > static_cast<std::uint64_t>(state::aborted)) {
            return fail(errc::malformed_input, "invalid journal entry state");
        }
        each.current = static_cast<state>(current);
        if (in.number() != 0) {
            each.answer = std::make_unique<std::string>(in.text());
            read.answer_bytes_ += each.answer->size();
        }
    }
    const std::uint64_t owners = in.number();
    for (std::uint64_t i = 0; i < owners && !in.failed(); ++i) {
        const node_id gate{std::string(in.text())};
        const bamboogate::incarnation gate_incarnation{in.number()};
        const std::uint64_t keys = in.number();
        auto& open = read.open_[{gate, gate_incarnation}];
        for (std::uint64_t k = 0; k < keys && !in.failed(); ++k) {
            const short_digest key = read_digest();
            if (!read.entries_.contains(key)) {
                return fail(errc::malformed_input,
                            "journal owner refers to a missing entry");
            }
            open.insert(key);
        }
    }
    if (in.failed() || !in.at_end()) {
        return fail(errc::malformed_input,
                    "journal is truncated or has trailing bytes");
    }
    *this = std::move(read);
    return outcome::success();
}

} // namespace bamboogate::control
