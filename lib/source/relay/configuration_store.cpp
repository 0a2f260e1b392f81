#include <bamboogate/relay/configuration_store.hpp>

#include <fmt/format.h>

namespace bamboogate::relay {

namespace {

// The largest document that an operator may send, plus encoding overhead.
constexpr parse_limits document_limits{.max_bytes = 16u << 20, .max_depth = 8};

/// Absent from a snapshot without rollouts, which then equals those of builds
/// without them; such builds ignore the field.
constexpr const char* rollouts_field = "rollouts";
/// Likewise for software versions.
constexpr const char* versions_field = "software_versions";
/// Likewise for departures.
constexpr const char* departures_field = "departures";

} // namespace

configuration_store::configuration_store()
    : current_(std::make_shared<configuration_document>())
{}

std::string
configuration_store::encode_command(const store_configuration& change)
{
    return encode_cbor(json(change));
}

std::string configuration_store::apply(const consensus::log_position& position,
                                       std::string_view command)
{
    const auto document = decode_cbor(command, document_limits);
    if (document && rollout_store::is_command(document.value())) {
        return rollouts_.apply(position, document.value());
    }
    if (document && version_history::is_command(document.value())) {
        versions_.apply(document.value());
    } else if (document && departure_history::is_command(document.value())) {
        departures_.apply(document.value());
    } else if (document) {
        auto change = from_document<store_configuration>(document.value());
        if (change && change.value().version > current_->version) {
            replace({.version = change.value().version,
                     .text = std::move(change.value().text)});
        }
    }
    return fmt::format("{}", current_->version);
}

std::string configuration_store::snapshot() const
{
    json out = *current_;
    if (!rollouts_.records().empty()) {
        out[rollouts_field] = rollouts_.snapshot();
    }
    if (!versions_.versions().empty()) {
        out[versions_field] = versions_.snapshot();
    }
    if (!departures_.entries().empty()) {
        out[departures_field] = departures_.snapshot();
    }
    return encode_cbor(out);
}

result<void> configuration_store::restore(std::string_view snapshot)
{
    BOOST_OUTCOME_TRY(document, decode_cbor(snapshot, document_limits));
    BOOST_OUTCOME_TRY(restored,
                      from_document<configuration_document>(document));
    if (restored.version > current_->version) {
        replace(std::move(restored));
    }
    if (document.contains(rollouts_field)) {
        BOOST_OUTCOME_TRY(rollouts_.restore(document[rollouts_field]));
    }
    if (document.contains(versions_field)) {
        BOOST_OUTCOME_TRY(versions_.restore(document[versions_field]));
    }
    if (document.contains(departures_field)) {
        BOOST_OUTCOME_TRY(departures_.restore(document[departures_field]));
    }
    return outcome::success();
}

void configuration_store::replace(configuration_document document)
{
    current_ =
        std::make_shared<const configuration_document>(std::move(document));
    if (observer_) {
        observer_(current_);
    }
}

} // namespace bamboogate::relay
