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

/// What a caller's request says of itself.
struct request_description
{
    /// Names one attempt of the caller; its retries have other ids.
    request_id attempt;
    std::optional<duration> time_left;         ///< that the caller will wait
    std::optional<std::uint64_t> resume_after; ///< last event that it has
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    /// Names the last part of the prompt, which a caller's retry shares with
    /// the attempt before it; empty: not said.
    std::string prompt;
    std::string key; ///< of the client account; empty: none
};

/// Names a copy of a run's memory to the engine that goes on from it.
struct copy_source
{
    /// The holder, for a copy that grows with its run; the engine that made
    /// it, for a copy made on order.
    net::address address;
    std::string name; ///< the run's attempt, or what the order returned
};

/// A call of our own to an upstream.
struct upstream_call
{
    std::string method;
    std::string target;
    net::header_list headers;
    std::string body;
};

/// What the gate tells an upstream about an attempt.
struct attempt_options
{
    duration time_left{};
    upstream_id expected_upstream; ///< another one must refuse
    client_account_id account;     ///< empty on anonymous routes
    std::optional<unsigned> urgency;
    std::optional<net::address> copy_to; ///< engine that keeps a copy
    std::optional<copy_source> continue_from;
    std::optional<std::uint64_t> resume_after;
};

/// What an upstream's answer says of itself.
struct answer_description
{
    request_id attempt;   ///< empty when the answer names none
    bool sealed = false;  ///< carries the engine's signature
    bool not_run = false; ///< the upstream states that it ran nothing
};

/// A prompt that an engine has read and keeps, or has given up.
struct cached_prompt
{
    std::string prompt; ///< as in `request_description`
    bool cached = false;
};

/// What an upstream says of itself.
struct announcement
{
    upstream_id id;
    service_id service;
    net::address address;
    failure_domain_id domain;
    unsigned slots = 0;
    bool draining = false;
    duration warm_up_left{}; ///< how much longer it stays slow after its start
    std::uint64_t sequence = 0;
    std::uint64_t started_at = 0; ///< Unix milliseconds; 0: not said
};

/// How requests, answers and configurations are written on the wire.
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
        T::describe_answer(head)
        } -> std::same_as<answer_description>;
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

/// The functions of one `RelayProtocol`, for code that is compiled once.
struct relay_protocol
{
    std::function<result<request_description>(const net::http1_request&)>
        describe_request;
    /// Replaces the fields that the gate sets; the caller's own values of
    /// these never reach an upstream.
    std::function<void(net::header_list&, const attempt_options&)>
        write_attempt;
    std::function<answer_description(const net::http1_response_head&)>
        describe_answer;
    /// Fields that tell a caller when to come back.
    std::function<net::header_list(duration)> retry_after;
    std::function<result<configuration>(std::string_view)> read_configuration;
    /// A call that a live engine answers after about the given time.
    std::function<net::http1_client::request(duration)> liveness_call;
    /// A call that an engine answers with the changes of its cache that it
    /// remembers, or after about the given time when there is none.
    std::function<net::http1_client::request(duration)> cache_call;
    /// The changes in their order.
    std::function<result<std::vector<cached_prompt>>(std::string_view)>
        read_cache;
    /// Tells the engine of a run to copy its memory to another engine.
    std::function<upstream_call(const request_id&, const net::address&)>
        copy_call;
    /// The name of the copy that an order has made.
    std::function<result<std::string>(unsigned, std::string_view)>
        read_copy_handle;
};

template <RelayProtocol Protocol>
[[nodiscard]] relay_protocol make_relay_protocol()
{
    return {.describe_request = &Protocol::describe_request,
            .write_attempt = &Protocol::write_attempt,
            .describe_answer = &Protocol::describe_answer,
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
