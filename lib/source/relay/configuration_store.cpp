#include <bamboogate/relay/configuration_store.hpp>

#include <fmt/format.h>

namespace bamboogate::relay {

namespace {

// The largest document that an operator may send, plus encoding overhead.
constexpr parse_limits document_limits{.max_bytes = 16u << 20, .max_depth = 8};

} // namespace

configuration_store::configuration_store()
    : current_(std::make_shared<configuration_document>())
{}

std::string
configuration_store::encode_command(const store_configuration& change)
{
    return encode_cbor(json(change));
}

std::string configuration_store::apply(const consensus::log_position&,
                                       std::string_view command)
{
    const auto document = decode_cbor(command, document_limits);
    if (document) {
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
    return encode_cbor(json(*current_));
}

result<void> configuration_store::restore(std::string_view snapshot)
{
    BOOST_OUTCOME_TRY(document, decode_cbor(snapshot, document_limits));
    BOOST_OUTCOME_TRY(restored,
                      from_document<configuration_document>(document));
    if (restored.version > current_->version) {
        replace(std::move(restored));
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
