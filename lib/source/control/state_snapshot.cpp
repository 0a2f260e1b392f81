#include <bamboogate/control/declaration_json.hpp>
#include <bamboogate/control/state_machine.hpp>

namespace bamboogate::control {

namespace {

constexpr unsigned snapshot_version = 1;
constexpr parse_limits snapshot_limits{.max_bytes = std::size_t{1} << 30,
                                       .max_depth = 64};

} // namespace

std::string state_machine::snapshot() const
{
    const std::string packed = journal_.pack();
    json orders = json::array();
    for (const auto& [upstream, order] : open_orders_) {
        orders.push_back(order);
    }
    const json document = {
        {"version", snapshot_version},
        {"time_ms", time_ms_},
        {"configuration", to_document(configuration_)},
        {"history", history_},
        {"operations", operations_.to_document()},
        {"journal", json::binary({packed.begin(), packed.end()})},
        {"open_orders", std::move(orders)},
        {"ended_orders", ended_orders_}};
    return encode_cbor(document);
}

result<void> state_machine::restore(std::string_view snapshot)
{
    BOOST_OUTCOME_TRY(document, decode_cbor(snapshot, snapshot_limits));
    if (!document.is_object() || !document.contains("configuration") ||
        document.value("version", 0u) != snapshot_version) {
        return fail(errc::malformed_input, "not a snapshot of this version");
    }
    BOOST_OUTCOME_TRY(read, configuration_from(document["configuration"]));
    state_machine next;
    next.configuration_ = std::move(read);
    try {
        document.at("time_ms").get_to(next.time_ms_);
        document.at("history").get_to(next.history_);
        document.at("ended_orders").get_to(next.ended_orders_);
        for (const auto& each : document.at("open_orders")) {
            auto order = each.get<open_order>();
            const auto upstream = order.upstream;
            next.open_orders_.emplace(upstream, std::move(order));
        }
        BOOST_OUTCOME_TRYV(next.operations_.restore(document.at("operations")));
        const auto& packed = document.at("journal").get_binary();
        BOOST_OUTCOME_TRYV(next.journal_.unpack(
            {reinterpret_cast<const char*>(packed.data()), packed.size()}));
    } catch (const json::exception& problem) {
        return fail(errc::malformed_input, problem.what());
    }
    next.observers_ = std::move(observers_);
    *this = std::move(next);
    notify();
    return outcome::success();
}

} // namespace bamboogate::control
