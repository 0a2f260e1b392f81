#include <bamboogate/routing/announcement.hpp>

#include <fmt/format.h>

namespace bamboogate::routing {

namespace {

result<upstream_kind> parse_kind(const std::string& text)
{
    if (text == "engine") {
        return upstream_kind::engine;
    }
    if (text == "service") {
        return upstream_kind::service;
    }
    return fail(errc::invalid_argument,
                fmt::format("kind '{}' is neither engine nor service", text));
}

// nlohmann::json converts negative numbers to unsigned without an error.
void require_unsigned(const json& document, const char* key)
{
    const auto found = document.find(key);
    if (found != document.end() && !found->is_number_unsigned()) {
        throw json::type_error::create(
            302,
            fmt::format("{} must be an unsigned number, not {}", key,
                        found->type_name()),
            &document);
    }
}

result<cache_event_batch> parse_events(const json& document,
                                       const announcement_limits& limits)
{
    require_unsigned(document, "first_sequence");
    cache_event_batch batch;
    batch.first_sequence = document.at("first_sequence").get<std::uint64_t>();
    const json& events = document.at("events");
    if (!events.is_array()) {
        return fail(errc::malformed_input, "cache events must be an array");
    }
    if (events.size() > limits.max_cache_events) {
        return fail(errc::limit_exceeded,
                    fmt::format("{} cache events exceed the limit of {}",
                                events.size(), limits.max_cache_events));
    }
    batch.events.reserve(events.size());
    for (const json& item : events) {
        require_unsigned(item, "prefix_hash");
        const auto op = item.at("op").get<std::string>();
        if (op != "add" && op != "remove") {
            return fail(errc::invalid_argument,
                        fmt::format("unknown cache operation '{}'", op));
        }
        batch.events.push_back({op == "add" ? cache_event::operation::add
                                            : cache_event::operation::remove,
                                item.at("prefix_hash").get<std::uint64_t>()});
    }
    return batch;
}

result<void> validate(const announcement& value,
                      const announcement_limits& limits)
{
    if (value.id.empty()) {
        return fail(errc::invalid_argument, "upstream id is empty");
    }
    if (value.id.value().size() > limits.max_id_bytes ||
        value.service.value().size() > limits.max_id_bytes ||
        value.failure_domain.value().size() > limits.max_id_bytes) {
        return fail(
            errc::limit_exceeded,
            fmt::format("an identifier exceeds {} bytes", limits.max_id_bytes));
    }
    if (value.models.size() > limits.max_models) {
        return fail(errc::limit_exceeded,
                    fmt::format("{} models exceed the limit of {}",
                                value.models.size(), limits.max_models));
    }
    for (const model_id& model : value.models) {
        if (model.empty() || model.value().size() > limits.max_id_bytes) {
            return fail(errc::invalid_argument,
                        fmt::format("a model name is empty or exceeds {} bytes",
                                    limits.max_id_bytes));
        }
    }
    if (value.slots > limits.max_slots) {
        return fail(errc::limit_exceeded,
                    fmt::format("{} slots exceed the limit of {}", value.slots,
                                limits.max_slots));
    }
    if (value.kind == upstream_kind::engine && value.slots == 0) {
        return fail(errc::invalid_argument, "engine without slots");
    }
    if (value.kind == upstream_kind::service && value.service.empty()) {
        return fail(errc::invalid_argument, "service without a name");
    }
    if (value.address.port == 0) {
        return fail(errc::invalid_argument, "address without port");
    }
    return outcome::success();
}

result<announcement> read_announcement(const json& document,
                                       const announcement_limits& limits)
{
    for (const char* key : {"incarnation", "sequence", "slots", "running",
                            "queued", "outstanding_tokens"}) {
        require_unsigned(document, key);
    }
    announcement value;
    BOOST_OUTCOME_TRY(kind, parse_kind(document.at("kind").get<std::string>()));
    BOOST_OUTCOME_TRY(
        address, net::parse_address(document.at("address").get<std::string>()));
    value.kind = kind;
    value.address = address;
    document.at("id").get_to(value.id);
    value.service = service_id(document.value("service", std::string()));
    document.at("incarnation").get_to(value.incarnation);
    document.at("sequence").get_to(value.sequence);
    document.at("failure_domain").get_to(value.failure_domain);
    value.models = document.value("models", std::vector<model_id>());
    value.slots = document.value("slots", 0u);
    value.running = document.value("running", 0u);
    value.queued = document.value("queued", 0u);
    value.outstanding_tokens =
        document.value("outstanding_tokens", std::uint64_t{0});
    value.draining = document.value("draining", false);
    value.checks_fencing = document.value("checks_fencing", false);
    if (document.contains("cache_events")) {
        BOOST_OUTCOME_TRY(events,
                          parse_events(document.at("cache_events"), limits));
        value.cache_events = std::move(events);
    }
    BOOST_OUTCOME_TRYV(validate(value, limits));
    return value;
}

} // namespace

result<announcement> parse_announcement(std::string_view text,
                                        const announcement_limits& limits)
{
    BOOST_OUTCOME_TRY(document, parse_json(text, {.max_bytes = limits.max_bytes,
                                                  .max_depth = 6}));
    return announcement_from(document, limits);
}

result<announcement> announcement_from(const json& document,
                                       const announcement_limits& limits)
{
    try {
        return read_announcement(document, limits);
    } catch (const json::exception& error) {
        return fail(errc::malformed_input, error.what());
    }
}

json to_document(const announcement& value)
{
    json document = {
        {"id", value.id},
        {"kind", value.kind == upstream_kind::engine ? "engine" : "service"},
        {"incarnation", value.incarnation},
        {"sequence", value.sequence},
        {"address", value.address.text()},
        {"failure_domain", value.failure_domain},
        {"slots", value.slots},
        {"running", value.running},
        {"queued", value.queued},
        {"outstanding_tokens", value.outstanding_tokens},
        {"draining", value.draining},
        {"checks_fencing", value.checks_fencing},
    };
    document["models"] = value.models;
    if (!value.service.empty()) {
        document["service"] = value.service;
    }
    if (!value.cache_events.events.empty()) {
        json events = json::array();
        for (const cache_event& event : value.cache_events.events) {
            events.push_back(
                {{"op",
                  event.op == cache_event::operation::add ? "add" : "remove"},
                 {"prefix_hash", event.prefix_hash}});
        }
        document["cache_events"] = {
            {"first_sequence", value.cache_events.first_sequence},
            {"events", std::move(events)}};
    }
    return document;
}

} // namespace bamboogate::routing
