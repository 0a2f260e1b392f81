#ifndef BAMBOOGATE_RELAY_PROTOCOL_HPP
#define BAMBOOGATE_RELAY_PROTOCOL_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/address.hpp>
#include <bamboogate/net/http1.hpp>
#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/relay/configuration.hpp>

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::relay {

/// Metadata of a caller's request.
struct request_description
{
    /// Identifies one attempt of the caller; its retries have other ids.
    request_id attempt;
    std::optional<duration> time_left; ///< that the caller is willing to wait
    std::optional<std::uint64_t> resume_after; ///< last event received
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    /// Identifies the last part of the prompt, which a caller's retry shares
    /// with the previous attempt; empty if unknown.
    std::string prompt;
    /// The parts before the last one, which requests may share.
    std::vector<std::string> shared_parts = {};
    std::string key; ///< API key of the client account; empty if none
    /// The attempt that brought the first event of the stream that the caller
    /// resumes; empty if it names none.
    request_id resumes = {};

    /// @brief The attempt that identifies the stream over all its attempts.
    [[nodiscard]] const request_id& stream() const
    {
        return resume_after && !resumes.empty() ? resumes : attempt;
    }
};

/// Identifies a KV cache copy to the engine that resumes from it.
struct copy_source
{
    /// The holder of a continuously updated copy; the engine that made it for a
    /// copy made on demand.
    net::address address;
    std::string name; ///< the run's attempt id or the copy's handle
};

/// A request of the gate itself to an upstream.
struct upstream_call
{
    std::string method;
    std::string target;
    net::header_list headers;
    std::string body;
};

/// Metadata that the gate sends to an upstream with an attempt.
struct attempt_options
{
    duration time_left{};
    upstream_id expected_upstream;       ///< any other upstream must refuse
    client_account_id account;           ///< empty on anonymous routes
    std::optional<unsigned> urgency;     ///< 0 is the most urgent
    std::optional<net::address> copy_to; ///< engine that stores a copy
    std::optional<copy_source> continue_from;
    std::optional<std::uint64_t> resume_after;
};

/// Metadata of an upstream's response.
struct response_description
{
    request_id attempt;   ///< empty if the response has none
    bool sealed = false;  ///< carries the engine's signature
    bool not_run = false; ///< the upstream states that it executed nothing
    bool leaving = false; ///< the upstream states that it leaves
    /// With a refusal, how long the upstream wants no requests; zero if the
    /// stated time is negative or unreadable.
    std::optional<duration> pause = {};
    /// False if the response comes from another upstream than the expected one.
    bool expected_upstream = true;
};

/// A change of an engine's prompt cache: an added or evicted prompt.
struct cached_prompt
{
    std::string prompt;  ///< as in `request_description`
    bool cached = false; ///< false: evicted
};

/// The state that an upstream announces about itself.
struct announcement
{
    upstream_id id;
    service_id service;
    net::address address;
    failure_domain_id domain;
    unsigned slots = 0;
    bool draining = false;
    duration warm_up_left{}; ///< remaining warm-up time after a start
    std::uint64_t sequence = 0;
    std::uint64_t started_at = 0;  ///< Unix milliseconds; 0 if unknown
    software_version version = {}; ///< empty if unknown
};

/// Encoding of requests, responses and configurations on the wire.
template <typename T>
concept RelayProtocol = requires(const net::http1_request& request,
                                 net::header_list& headers,
                                 const attempt_options& options,
                                 const net::http1_response_head& head,
                                 std::string_view text, duration delay,
                                 const request_id& run,
                                 const net::address& holder, unsigned status)
{
    {
        T::describe_request(request)
        } -> std::same_as<result<request_description>>;
    T::write_attempt(headers, options);
    {
        T::describe_response(head)
        } -> std::same_as<response_description>;
    {
        T::retry_after(delay)
        } -> std::same_as<net::header_list>;
    {
        T::read_configuration(text)
        } -> std::same_as<result<configuration>>;
    {
        T::liveness_call(delay)
        } -> std::same_as<net::http1_client::request>;
    {
        T::cache_call(delay)
        } -> std::same_as<net::http1_client::request>;
    {
        T::read_cache(text)
        } -> std::same_as<result<std::vector<cached_prompt>>>;
    {
        T::copy_call(run, holder)
        } -> std::same_as<upstream_call>;
    {
        T::read_copy_handle(status, text)
        } -> std::same_as<result<std::string>>;
};

/// The type-erased functions of one `RelayProtocol`, so that the relay is
/// compiled only once.
struct relay_protocol
{
    /// Parses the header fields of a caller's request.
    std::function<result<request_description>(const net::http1_request&)>
        describe_request;
    /// Sets the gate's header fields. Values that the caller sent in these
    /// fields are removed and never reach an upstream.
    std::function<void(net::header_list&, const attempt_options&)>
        write_attempt;
    std::function<response_description(const net::http1_response_head&)>
        describe_response;
    /// Returns header fields that tell a caller when to retry.
    std::function<net::header_list(duration)> retry_after;
    std::function<result<configuration>(std::string_view)> read_configuration;
    /// Returns a request that a live engine answers after about the given time.
    std::function<net::http1_client::request(duration)> liveness_call;
    /// Returns a request that an engine answers with the cache changes that it
    /// has recorded, or after about the given time if there are none.
    std::function<net::http1_client::request(duration)> cache_call;
    /// Parses the response to `cache_call`; oldest change first.
    std::function<result<std::vector<cached_prompt>>(std::string_view)>
        read_cache;
    /// Returns a request to the engine of a run to copy the run's KV cache to
    /// another engine.
    std::function<upstream_call(const request_id&, const net::address&)>
        copy_call;
    /// Parses the response to `copy_call` into the handle of the copy.
    std::function<result<std::string>(unsigned, std::string_view)>
        read_copy_handle;
};

template <RelayProtocol Protocol>
[[nodiscard]] relay_protocol make_relay_protocol()
{
    return {.describe_request = &Protocol::describe_request,
            .write_attempt = &Protocol::write_attempt,
            .describe_response = &Protocol::describe_response,
            .retry_after = &Protocol::retry_after,
            .read_configuration = &Protocol::read_configuration,
            .liveness_call = &Protocol::liveness_call,
            .cache_call = &Protocol::cache_call,
            .read_cache = &Protocol::read_cache,
            .copy_call = &Protocol::copy_call,
            .read_copy_handle = &Protocol::read_copy_handle};
}

} // namespace bamboogate::relay

#endif
