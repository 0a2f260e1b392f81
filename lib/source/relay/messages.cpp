#include <bamboogate/relay/messages.hpp>

#include <fmt/format.h>

namespace bamboogate::relay {

// Encoded as an array without keys, because announcements are most of the
// traffic between replicas and gates.
void to_json(json& document, const announcement& value)
{
    document = json::array(
        {value.id, value.service, value.address.host, value.address.port,
         value.domain, value.slots, value.draining,
         std::chrono::duration_cast<std::chrono::milliseconds>(
             value.warm_up_left)
             .count(),
         value.sequence, value.started_at, value.version});
}

void from_json(const json& document, announcement& value)
{
    document.at(0).get_to(value.id);
    document.at(1).get_to(value.service);
    document.at(2).get_to(value.address.host);
    document.at(3).get_to(value.address.port);
    document.at(4).get_to(value.domain);
    document.at(5).get_to(value.slots);
    document.at(6).get_to(value.draining);
    value.warm_up_left =
        std::chrono::milliseconds(document.at(7).get<std::int64_t>());
    document.at(8).get_to(value.sequence);
    document.at(9).get_to(value.started_at);
    // Earlier builds don't send the version.
    value.version = document.size() > 10
                        ? document.at(10).get<software_version>()
                        : software_version();
}

void to_json(json& document, const upstream_refresh& value)
{
    document =
        json::array({value.id.value(), value.started_at, value.sequence});
}

void from_json(const json& document, upstream_refresh& value)
{
    value.id = upstream_id(document.at(0).get<std::string>());
    document.at(1).get_to(value.started_at);
    document.at(2).get_to(value.sequence);
}

std::string crash_report::engine_start() const
{
    return fmt::format("{}@{}", engine.value(), engine_started_at);
}

quarantine_update make_quarantine_update(const service_id& service,
                                         const quarantined_parts& quarantine)
{
    return {.service = service,
            .parts = quarantine.parts,
            .crashes = quarantine.crashes,
            .repetitions = quarantine.repetitions,
            .remaining_ms =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    quarantine.remaining)
                    .count()};
}

quarantined_parts to_quarantine(const quarantine_update& update)
{
    return {.parts = update.parts,
            .crashes = update.crashes,
            .repetitions = update.repetitions,
            .remaining = std::chrono::milliseconds(update.remaining_ms)};
}

} // namespace bamboogate::relay
