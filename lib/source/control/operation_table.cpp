#include <bamboogate/control/operation_table.hpp>

#include <utility>

namespace bamboogate::control {

const operation_table::entry*
operation_table::find(const operation_id& operation) const
{
    const auto found = entries_.find(operation);
    return found == entries_.end() ? nullptr : &found->second;
}

void operation_table::insert(const operation_id& operation, entry first,
                             const state_limits& limits)
{
    const bool accepted = first.accepted;
    entries_.insert_or_assign(operation, std::move(first));
    (accepted ? accepted_ : refused_).push_back(operation);
    evict(accepted_, limits.operations);
    evict(refused_, limits.refused_operations);
}

void operation_table::evict(std::deque<operation_id>& order, std::size_t limit)
{
    while (order.size() > limit) {
        entries_.erase(order.front());
        order.pop_front();
    }
}

json operation_table::to_document() const
{
    json out = json::array();
    for (const auto* order : {&accepted_, &refused_}) {
        for (const auto& operation : *order) {
            const auto& each = entries_.at(operation);
            out.push_back(json::array(
                {operation,
                 json::binary(
                     {each.request_digest.begin(), each.request_digest.end()}),
                 json::binary({each.response.begin(), each.response.end()}),
                 each.accepted}));
        }
    }
    return out;
}

result<void> operation_table::restore(const json& document)
{
    operation_table read;
    try {
        for (const auto& row : document) {
            const auto operation = row.at(0).get<operation_id>();
            const auto& digest = row.at(1).get_binary();
            const auto& response = row.at(2).get_binary();
            entry each{.request_digest = {digest.begin(), digest.end()},
                       .response = {response.begin(), response.end()},
                       .accepted = row.at(3).get<bool>()};
            (each.accepted ? read.accepted_ : read.refused_)
                .push_back(operation);
            read.entries_.insert_or_assign(operation, std::move(each));
        }
    } catch (const json::exception& problem) {
        return fail(errc::malformed_input, problem.what());
    }
    *this = std::move(read);
    return outcome::success();
}

} // namespace bamboogate::control
