#ifndef BAMBOOGATE_TESTS_ROUTING_SUPPORT_ANNOUNCEMENTS_HPP
#define BAMBOOGATE_TESTS_ROUTING_SUPPORT_ANNOUNCEMENTS_HPP

#include <bamboogate/routing/announcement.hpp>

#include <string>
#include <utility>

namespace bamboogate::routing::testing {

/// An engine's announcement with the fields that most tests need.
inline announcement engine_news(const std::string& id, std::uint64_t life,
                                std::uint64_t sequence)
{
    announcement news;
    news.id = upstream_id(id);
    news.incarnation = incarnation{life};
    news.sequence = sequence;
    news.address = {"127.0.0.1", 9000};
    news.failure_domain = failure_domain_id("douz");
    news.models = {model_id("draft")};
    news.slots = 8;
    return news;
}

} // namespace bamboogate::routing::testing

#endif
