#include <bamboogate/control/declaration_json.hpp>

#include <fmt/format.h>

#include "declaration_reader.hpp"

namespace bamboogate::control {

namespace {

constexpr std::int64_t day_ms = 86'400'000;

void read_rank(object_reader& in, rank_policy& out)
{
    in.required_text("name", out.name);
    in.count("priority", out.priority, 0, 100);
    in.duration_ms("first_token_target_ms", out.first_token_target, 1,
                   3'600'000);
    in.duration_ms("max_queue_wait_ms", out.max_queue_wait, 0, 3'600'000);
    in.number("floor_share", out.floor_share, 0, 1);
    in.number("objective", out.objective, 0, 1);
    in.boolean("preemptible", out.preemptible);
    in.count("queue_limit", out.queue_limit, 0, 1'000'000);
}

void read_preset(object_reader& in, preset& out)
{
    in.required_id("id", out.id);
    in.objects("ranks", out.ranks, read_rank);
    in.objects("class_shares", out.class_shares,
               [](object_reader& share, class_share& item) {
                   share.required_text("service_class", item.service_class);
                   share.number("share", item.share, 0, 1);
               });
    in.number("retry_budget", out.retry_budget, 0, 1);
    in.boolean("preemption", out.preemption);
    in.count("max_streams_per_gate", out.max_streams_per_gate, 1, 1'000'000);
}

void read_limits(object_reader& in, state_limits& out)
{
    in.count("operations", out.operations, 256, 1'000'000);
    in.count("refused_operations", out.refused_operations, 64, 1'000'000);
    in.count("history", out.history, 16, 1'000'000);
    in.count("journal_entries", out.journal_entries, 1, 10'000'000);
    in.count("answer_bytes", out.answer_bytes, 0, 4u << 20);
    in.count("total_answer_bytes", out.total_answer_bytes, 0, 1u << 30);
}

json rank_document(const rank_policy& rank)
{
    return {{"name", rank.name},
            {"priority", rank.priority},
            {"first_token_target_ms", rank.first_token_target.count()},
            {"max_queue_wait_ms", rank.max_queue_wait.count()},
            {"floor_share", rank.floor_share},
            {"objective", rank.objective},
            {"preemptible", rank.preemptible},
            {"queue_limit", rank.queue_limit}};
}

json preset_document(const preset& each)
{
    json ranks = json::array();
    for (const auto& rank : each.ranks) {
        ranks.push_back(rank_document(rank));
    }
    json shares = json::array();
    for (const auto& share : each.class_shares) {
        shares.push_back(
            {{"service_class", share.service_class}, {"share", share.share}});
    }
    return {{"id", each.id},
            {"ranks", std::move(ranks)},
            {"class_shares", std::move(shares)},
            {"retry_budget", each.retry_budget},
            {"preemption", each.preemption},
            {"max_streams_per_gate", each.max_streams_per_gate}};
}

} // namespace

std::string declaration_fault::text() const
{
    std::string out;
    if (!file.empty()) {
        out += file;
        out += line > 0 ? fmt::format(":{}: ", line) : ": ";
    }
    out += fmt::format("{}: found {}, allowed: {}", path.empty() ? "/" : path,
                       value, allowed);
    return out;
}

json to_document(const declarations& declared)
{
    json out = {{"presets", json::array()},
                {"service_classes", json::array()},
                {"client_accounts", json::array()},
                {"services", json::array()},
                {"operators", json::array()}};
    for (const auto& each : declared.presets) {
        out["presets"].push_back(preset_document(each));
    }
    for (const auto& each : declared.service_classes) {
        out["service_classes"].push_back(
            {{"id", each.id}, {"rank", each.rank}, {"models", each.models}});
    }
    for (const auto& each : declared.client_accounts) {
        out["client_accounts"].push_back(
            {{"id", each.id},
             {"key_sha256", each.key_sha256},
             {"weight", each.weight},
             {"service_classes", each.service_classes},
             {"services", each.services}});
    }
    for (const auto& each : declared.services) {
        out["services"].push_back(
            {{"id", each.id},
             {"idempotent_methods", each.idempotent_methods},
             {"timeout_ms", each.timeout.count()},
             {"answer_retention_ms", each.answer_retention.count()}});
    }
    for (const auto& each : declared.operators) {
        out["operators"].push_back(
            {{"id", each.id}, {"key_sha256", each.key_sha256}});
    }
    const auto& limits = declared.limits;
    out["limits"] = {{"operations", limits.operations},
                     {"refused_operations", limits.refused_operations},
                     {"history", limits.history},
                     {"journal_entries", limits.journal_entries},
                     {"answer_bytes", limits.answer_bytes},
                     {"total_answer_bytes", limits.total_answer_bytes}};
    return out;
}

json to_document(const configuration& applied)
{
    return {{"revision", applied.revision},
            {"preset_in_force", applied.preset_in_force},
            {"declarations", to_document(applied.declared)}};
}

void read_declarations(const json& document, unknown_fields policy,
                       declarations& out,
                       std::vector<declaration_fault>& faults)
{
    object_reader in(document, "", policy, faults);
    if (!in.valid()) {
        return;
    }
    in.objects("presets", out.presets, read_preset);
    in.objects("service_classes", out.service_classes,
               [](object_reader& part, service_class& item) {
                   part.required_text("id", item.id);
                   part.required_text("rank", item.rank);
                   part.ids("models", item.models);
               });
    in.objects("client_accounts", out.client_accounts,
               [](object_reader& part, client_account& item) {
                   part.required_id("id", item.id);
                   part.key_digest("key_sha256", item.key_sha256);
                   part.number("weight", item.weight, 0.001, 1000);
                   part.texts("service_classes", item.service_classes);
                   part.ids("services", item.services);
               });
    in.objects("services", out.services,
               [](object_reader& part, plain_service& item) {
                   part.required_id("id", item.id);
                   part.texts("idempotent_methods", item.idempotent_methods);
                   part.duration_ms("timeout_ms", item.timeout, 1, 3'600'000);
                   part.duration_ms("answer_retention_ms",
                                    item.answer_retention, 60'000, 90 * day_ms);
               });
    in.objects("operators", out.operators,
               [](object_reader& part, operator_account& item) {
                   part.required_text("id", item.id);
                   part.key_digest("key_sha256", item.key_sha256);
               });
    in.object("limits",
              [&out](object_reader& part) { read_limits(part, out.limits); });
    in.finish();
}

result<declarations> declarations_from(const json& document)
{
    declarations out;
    std::vector<declaration_fault> faults;
    read_declarations(document, unknown_fields::ignore, out, faults);
    if (!faults.empty()) {
        return fail(errc::malformed_input, faults.front().text());
    }
    return out;
}

result<configuration> configuration_from(const json& document)
{
    if (!document.is_object() || !document.contains("declarations")) {
        return fail(errc::malformed_input, "configuration without parts");
    }
    configuration out;
    try {
        document.at("revision").get_to(out.revision);
        document.at("preset_in_force").get_to(out.preset_in_force);
    } catch (const json::exception& problem) {
        return fail(errc::malformed_input, problem.what());
    }
    BOOST_OUTCOME_TRY(declared, declarations_from(document["declarations"]));
    out.declared = std::move(declared);
    return out;
}

json pack_configuration(const configuration& applied)
{
    const std::string bytes = encode_cbor(to_document(applied));
    return json::binary({bytes.begin(), bytes.end()});
}

result<configuration> unpack_configuration(const json& packed)
{
    if (!packed.is_binary()) {
        return fail(errc::malformed_input, "configuration is not binary");
    }
    const auto& bytes = packed.get_binary();
    BOOST_OUTCOME_TRY(
        document,
        decode_cbor({reinterpret_cast<const char*>(bytes.data()), bytes.size()},
                    {.max_bytes = 16u << 20}));
    return configuration_from(document);
}

} // namespace bamboogate::control
