#ifndef BAMBOOGATE_STREAMING_GENERATION_REQUEST_HPP
#define BAMBOOGATE_STREAMING_GENERATION_REQUEST_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/json.hpp>

#include <cstdint>
#include <string>

namespace bamboogate::streaming {

/// A caller's request. Copied in full to the buddy gate.
struct generation_request
{
    client_account_id client_account;
    std::string service_class;
    model_id model;
    std::string prompt;
    std::uint64_t max_tokens = 0; ///< 0 means unlimited
    unsigned priority = 0;        ///< 0 is the most urgent
    failure_domain_id preferred_failure_domain;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(generation_request, client_account,
                                   service_class, model, prompt, max_tokens,
                                   priority, preferred_failure_domain)
};

} // namespace bamboogate::streaming

#endif
