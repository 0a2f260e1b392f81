#include <bamboogate/core/state_chart.hpp>
#include <bamboogate/core/time.hpp>

#include <fmt/format.h>

#include <cstdint>

namespace {

using namespace bamboogate;

/// The attempt data that the chart's guards and actions use.
struct attempt
{
    std::uint64_t next_index = 0;
    std::uint64_t batch_first = 0;
    std::uint64_t batch_size = 1;
    bool complete = false;
};

struct attempt_binding
{
    using context = attempt;
    enum class state
    {
        connecting,
        prefilling,
        streaming,
        complete,
        lost,
        cancelled,
    };
    enum class event
    {
        connected,
        token_batch,
        end_of_stream,
        refused,
        silent,
        broken,
        cancel,
    };
    static constexpr std::array<std::string_view, 6> states{
        "connecting", "prefilling", "streaming",
        "complete",   "lost",       "cancelled"};
    static constexpr std::array<std::string_view, 7> events{
        "connected", "token_batch", "end_of_stream", "refused",
        "silent",    "broken",      "cancel"};
    static constexpr std::array<chart_guard<attempt>, 2> guards{
        {{"tokens_contiguous",
          [](const attempt& context) {
              return context.batch_first == context.next_index;
          }},
         {"answer_complete",
          [](const attempt& context) { return context.complete; }}}};
    static constexpr std::array<chart_action<attempt>, 5> actions{
        {{"take_tokens",
          [](attempt& context) { context.next_index += context.batch_size; }},
         {"report_loss", [](attempt&) {}},
         {"report_refusal", [](attempt&) {}},
         {"report_end", [](attempt&) {}},
         {"abort_transfer", [](attempt&) {}}}};
};

} // namespace

/// Measures the time of one token batch event: table look-up, guard, action.
int main()
{
    using chart_type = state_chart<attempt_binding>;
    using event = attempt_binding::event;
    const auto bound = chart_type::bind_embedded("generation_attempt");
    if (!bound) {
        fmt::print(stderr, "{}\n", bound.error().detail);
        return 1;
    }
    const auto& chart = bound.value();
    constexpr std::uint64_t rounds = 50'000'000;
    attempt context;
    auto state = chart.initial();
    chart.fire(state, event::connected, context);
    const auto start = monotonic_clock::now();
    for (std::uint64_t round = 0; round < rounds; ++round) {
        context.batch_first = context.next_index;
        chart.fire(state, event::token_batch, context);
    }
    const auto spent = monotonic_clock::now() - start;
    if (context.next_index != rounds) {
        fmt::print(stderr, "tokens are missing\n");
        return 1;
    }
    fmt::print("state_chart ns_per_transition {:.2f} transitions {}\n",
               static_cast<double>(spent.count()) / rounds, rounds);
    return 0;
}
