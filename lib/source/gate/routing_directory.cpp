#include <bamboogate/gate/routing_directory.hpp>
#include <bamboogate/routing/prefix_index.hpp>

#include <algorithm>

namespace bamboogate::gate {

namespace {

// Estimates: a typical ratio of text to tokens, and the answer length assumed
// for a request without a limit.
constexpr std::size_t bytes_per_token = 4;
constexpr std::uint64_t assumed_answer_tokens = 512;

std::uint64_t estimate_tokens(const streaming::engine_query& query)
{
    const std::uint64_t answer =
        query.max_tokens == 0 ? assumed_answer_tokens : query.max_tokens;
    const std::uint64_t left =
        answer - std::min<std::uint64_t>(answer, query.resume_tokens);
    return query.prompt.size() / bytes_per_token + query.resume_tokens + left;
}

routing::selector::attempt_end
to_attempt_end(streaming::attempt_outcome outcome)
{
    using streaming::attempt_outcome;
    switch (outcome) {
    case attempt_outcome::finished:
        return routing::selector::attempt_end::succeeded;
    case attempt_outcome::preempted:
    case attempt_outcome::cancelled:
        return routing::selector::attempt_end::cancelled;
    default:
        return routing::selector::attempt_end::failed;
    }
}

} // namespace

routing_directory::routing_directory(const routing::upstream_table& table,
                                     routing::selector& selector,
                                     std::uint64_t seed)
    : table_(table), selector_(selector), random_(seed)
{}

std::optional<streaming::engine_choice>
routing_directory::choose(const streaming::engine_query& query)
{
    const auto prefix = routing::prefix_hashes(query.prompt);
    const std::uint64_t tokens = estimate_tokens(query);
    auto chosen = selector_.choose_engine(
        {.model = query.model,
         .tokens = tokens,
         .prefix = prefix,
         .exclusions = query.excluded,
         .preferred_domain = query.preferred_failure_domain},
        monotonic_clock::now(), random_());
    if (!chosen) {
        return std::nullopt;
    }
    estimates_[query.request] = tokens;
    const auto& engine = chosen.value();
    streaming::engine_choice out;
    out.upstream = engine.upstream;
    out.incarnation = engine.incarnation;
    out.address = engine.address.text();
    if (const auto* record = table_.find(engine.upstream)) {
        out.failure_domain = record->latest.failure_domain;
    }
    return out;
}

void routing_directory::attempt_started(const streaming::engine_choice& engine,
                                        const request_id& request,
                                        std::uint64_t attempt)
{
    const auto estimate = estimates_.find(request);
    const std::uint64_t tokens =
        estimate == estimates_.end() ? 0 : estimate->second;
    estimates_.erase(request);
    outstanding_.insert_or_assign(
        request, outstanding_work{engine.upstream, attempt, tokens});
    selector_.started(engine.upstream, tokens, monotonic_clock::now());
}

void routing_directory::attempt_ended(const streaming::engine_choice& engine,
                                      const request_id& request,
                                      std::uint64_t attempt,
                                      streaming::attempt_outcome outcome,
                                      std::uint64_t)
{
    std::uint64_t unused = 0;
    const auto found = outstanding_.find(request);
    if (found != outstanding_.end() && found->second.attempt == attempt) {
        unused = found->second.tokens;
        outstanding_.erase(found);
    }
    selector_.finished(engine.upstream, unused, to_attempt_end(outcome),
                       monotonic_clock::now());
}

bool routing_directory::is_alive(const upstream_id& upstream,
                                 incarnation expected) const
{
    const auto* record = table_.find(upstream);
    return record != nullptr && record->latest.incarnation == expected &&
           !record->suspected;
}

void routing_directory::tokens_received(const request_id& request,
                                        std::uint64_t count)
{
    const auto found = outstanding_.find(request);
    if (found == outstanding_.end()) {
        return;
    }
    const std::uint64_t delivered = std::min(count, found->second.tokens);
    found->second.tokens -= delivered;
    selector_.tokens_received(found->second.engine, delivered,
                              monotonic_clock::now());
}

std::optional<orders::service_target>
routing_directory::choose_service(const service_id& service,
                                  std::span<const upstream_id> excluded)
{
    auto chosen = selector_.choose_service(service, excluded,
                                           monotonic_clock::now(), random_());
    if (!chosen) {
        return std::nullopt;
    }
    return orders::service_target{chosen.value().upstream,
                                  chosen.value().address.text()};
}

} // namespace bamboogate::gate
