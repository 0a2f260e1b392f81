#include <bamboogate/core/error.hpp>

namespace bamboogate {

std::string_view name_of(errc code) noexcept
{
    switch (code) {
    case errc::invalid_argument:
        return "invalid_argument";
    case errc::malformed_input:
        return "malformed_input";
    case errc::limit_exceeded:
        return "limit_exceeded";
    case errc::unauthenticated:
        return "unauthenticated";
    case errc::permission_denied:
        return "permission_denied";
    case errc::not_found:
        return "not_found";
    case errc::conflict:
        return "conflict";
    case errc::key_reused:
        return "key_reused";
    case errc::in_progress:
        return "in_progress";
    case errc::not_run:
        return "not_run";
    case errc::outcome_unknown:
        return "outcome_unknown";
    case errc::generation_not_found:
        return "generation_not_found";
    case errc::not_leader:
        return "not_leader";
    case errc::no_quorum:
        return "no_quorum";
    case errc::lease_expired:
        return "lease_expired";
    case errc::superseded:
        return "superseded";
    case errc::overloaded:
        return "overloaded";
    case errc::deadline_exceeded:
        return "deadline_exceeded";
    case errc::cancelled:
        return "cancelled";
    case errc::connection_failed:
        return "connection_failed";
    case errc::connection_lost:
        return "connection_lost";
    case errc::upstream_failed:
        return "upstream_failed";
    case errc::storage_corrupt:
        return "storage_corrupt";
    case errc::storage_full:
        return "storage_full";
    case errc::storage_failed:
        return "storage_failed";
    case errc::state_chart_invalid:
        return "state_chart_invalid";
    case errc::internal:
        return "internal";
    }
    return "internal";
}

} // namespace bamboogate
