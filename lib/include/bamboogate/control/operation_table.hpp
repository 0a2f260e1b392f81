#ifndef BAMBOOGATE_CONTROL_OPERATION_TABLE_HPP
#define BAMBOOGATE_CONTROL_OPERATION_TABLE_HPP

#include <bamboogate/control/declarations.hpp>
#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/json.hpp>
#include <bamboogate/core/result.hpp>

#include <deque>
#include <map>
#include <string>

namespace bamboogate::control {

/// Responses to operator changes by operation id, so that a retry gets the
/// original response. Deterministic.
///
/// The newest `operations` accepted and `refused_operations` refused changes
/// are kept. A retry of an older accepted change is refused because of its
/// revision, which grows with each accepted change.
class operation_table
{
public:
    struct entry
    {
        std::string request_digest; ///< digest of the complete request
        std::string response;       ///< encoded response
        bool accepted = false;
    };

    /// @brief The original response, or null. Valid until the next change.
    [[nodiscard]] const entry* find(const operation_id& operation) const;

    /// @brief Stores a response and evicts the oldest ones above the limits.
    /// @pre `find(operation)` is null
    void insert(const operation_id& operation, entry first,
                const state_limits& limits);

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

    [[nodiscard]] json to_document() const;
    /// @return `malformed_input`; the table is then unchanged
    result<void> restore(const json& document);

private:
    void evict(std::deque<operation_id>& order, std::size_t limit);

    std::map<operation_id, entry> entries_;
    std::deque<operation_id> accepted_;
    std::deque<operation_id> refused_;
};

} // namespace bamboogate::control

#endif
