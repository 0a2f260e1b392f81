#ifndef BAMBOOGATE_BENCH_MODEL_DECISION_COST_HPP
#define BAMBOOGATE_BENCH_MODEL_DECISION_COST_HPP

namespace bamboogate::model {

/// @brief Wall-clock time of the scheduling decisions for one request: submit,
///     schedule, engine selection, start, progress and end.
/// @param accounts client accounts, all of them active
/// @param engines engines that serve the same model
/// @return mean time per request in microseconds, in a steady backlog
[[nodiscard]] double decision_microseconds(unsigned accounts, unsigned engines);

} // namespace bamboogate::model

#endif
