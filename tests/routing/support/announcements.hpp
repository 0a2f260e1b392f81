#ifndef BAMBOOGATE_TESTS_ROUTING_SUPPORT_ANNOUNCEMENTS_HPP
#define BAMBOOGATE_TESTS_ROUTING_SUPPORT_ANNOUNCEMENTS_HPP

#include <bamboogate/routing/announcement.hpp>

#include <string>
#include <utility>

namespace bamboogate::routing::testing {

/// An engine's announcement with valid values in the required fields.
inline announcement engine_announcement(const std::string& id,
                                        std::uint64_t engine_incarnation,
                                        std::uint64_t sequence)
{
    announcement announced;
    announced.id = upstream_id(id);
    announced.incarnation = incarnation{engine_incarnation};
    announced.sequence = sequence;
    announced.address = {"127.0.0.1", 9000};
    announced.failure_domain = failure_domain_id("douz");
    announced.models = {model_id("draft")};
    announced.slots = 8;
    return announced;
}

} // namespace bamboogate::routing::testing

#endif
