#include <bamboogate/config/exit_code.hpp>

namespace bamboogate::config {

exit_code exit_code_of(errc code) noexcept
{
    switch (code) {
    case errc::invalid_argument:
        return exit_code::usage;
    case errc::malformed_input:
    case errc::limit_exceeded:
    case errc::conflict:
    case errc::key_reused:
        return exit_code::data;
    case errc::unauthenticated:
    case errc::permission_denied:
        return exit_code::no_permission;
    case errc::not_leader:
    case errc::no_quorum:
    case errc::lease_expired:
    case errc::overloaded:
    case errc::in_progress:
    case errc::outcome_unknown:
    case errc::deadline_exceeded:
        return exit_code::temporary;
    case errc::connection_failed:
    case errc::connection_lost:
    case errc::upstream_failed:
        return exit_code::unavailable;
    case errc::storage_corrupt:
    case errc::storage_full:
    case errc::storage_failed:
        return exit_code::io;
    case errc::state_chart_invalid:
    case errc::internal:
        return exit_code::software;
    default:
        // No sysexits code is more specific, and new values of `errc` need no
        // case here.
        return exit_code::failure;
    }
}

} // namespace bamboogate::config
