#ifndef BAMBOOGATE_RELAY_STREAM_PLANNER_HPP
#define BAMBOOGATE_RELAY_STREAM_PLANNER_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/rollout/rollout.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bamboogate::relay {

/// The state of an engine for planning.
struct planned_engine
{
    upstream_id id;
    failure_domain_id domain;
    std::uint64_t kv_capacity_tokens = 0; ///< shared by runs and copies
    unsigned slots = 0;
    bool usable = true;  ///< ready and not suspended
    double slowdown = 1; ///< time per unit of work relative to a typical engine
    software_version version = {};
    /// Few engines of its version are left for the streams that may go on only
    /// there: others are placed here only if no other engine has capacity.
    bool reserved = false;
};

/// A stream that needs an engine.
struct planned_run
{
    request_id id;
    unsigned rank = 0;   ///< lower ones are placed first
    bool urgent = false; ///< its loss is most expensive
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    /// Identifies the prompt: an engine that has prefilled it before may still
    /// cache it. Empty if unknown.
    std::string prompt = {};
    /// The run may crash its engine when it begins, see `prompt_quarantine`.
    bool suspect = false;
    /// Versions of the engines that it may be placed on.
    rollout::version_filter versions = {};
    /// Set for a stream that has begun: it may go on only at this version.
    std::optional<software_version> begun_at = {};

    [[nodiscard]] bool may_run_at(const software_version& version) const
    {
        return begun_at ? *begun_at == version : versions.admits(version);
    }
};

/// The engine of a stream and the holder of its KV cache copy.
struct placement
{
    upstream_id engine;
    std::optional<upstream_id> copy_holder;
};

/// Assigns streams to engines by the work that each engine still has to do.
/// Prefilling a prompt delays every stream of the engine, so pending prefill
/// tokens weigh most, followed by the KV cache that runs and copies use. Copies
/// go to another failure domain, because engines of one domain tend to fail
/// together. Performs no I/O. Not thread safe.
class stream_planner
{
public:
    struct options
    {
        /// Cost of one resident token relative to one pending prefill token.
        double resident_weight = 0.1;
        /// Share of an engine's KV cache that runs may reserve; the rest is for
        /// output beyond the estimate.
        double memory_share = 0.95;
        /// A copy is placed only if its holder is filled to at most this share,
        /// because copies take KV cache away from runs.
        double copy_memory_share = 0.92;
        /// The same limit for urgent runs, whose loss is most expensive.
        double urgent_copy_memory_share = 0.97;
        /// Pending prefill tokens up to which an engine accepts another prompt,
        /// so that the new prompt is prefilled in time.
        std::uint64_t max_pending_prefill_tokens = 24000;
        /// Prompt tokens that may be assigned to an engine within
        /// `prefill_window`. During prefill, the engine's streams get one token
        /// per chunk; an engine that prefills all the time finishes none of
        /// them before its deadline. This is half of what an engine can
        /// prefill.
        std::uint64_t max_prefill_tokens = 28000;
        duration prefill_window = std::chrono::seconds(8);
        /// The same limit for urgent runs.
        std::uint64_t urgent_max_prefill_tokens = 36000;
        /// Cost of one prompt token assigned within the window, relative to one
        /// pending prefill token.
        double prefill_weight = 0.15;
        /// How long an engine is assumed to cache a prompt. Its cache turns
        /// over within one or two streams, which last 6 to 9 s.
        duration prompt_retention = std::chrono::seconds(15);
        /// Share of an engine's KV cache that may be used for a stream whose
        /// prompt it caches: the prompt takes no additional space.
        double cached_prompt_memory_share = 1.0;
    };

    /// Whether a run may be assigned to an engine without free capacity for it.
    enum class capacity_policy : std::uint8_t
    {
        required,
        preferred,
    };

    stream_planner() : stream_planner(options{}) {}
    explicit stream_planner(options settings) : settings_(settings) {}

    /// @brief Adds an engine or replaces its state.
    void update_engine(const planned_engine& engine);

    /// @brief Marks every engine as unusable; `update_engine` then restores the
    ///     usable ones.
    void suspend_all();

    /// @brief Removes an engine; its runs stay until they end.
    void remove_engine(const upstream_id& id);

    /// @brief Chooses an engine and a copy holder for a run.
    /// @param excluded engines on which this run has failed
    /// @return nothing if no usable engine is left, or none has the required
    ///     capacity
    [[nodiscard]] std::optional<placement>
    choose(const planned_run& run, const std::set<upstream_id>& excluded,
           time_point now,
           capacity_policy needed = capacity_policy::preferred) const;

    /// @brief Chooses a holder for the copy of a run on `engine`: one of the
    ///     same version, because a stream is not continued by another one.
    [[nodiscard]] std::optional<upstream_id>
    choose_copy_holder(const planned_run& run, const upstream_id& engine,
                       const std::set<upstream_id>& excluded) const;

    /// @brief Replaces the copy holder of a running stream.
    /// @return nothing if no engine has capacity or the run is unknown
    std::optional<upstream_id>
    replace_copy_holder(const request_id& run,
                        const std::set<upstream_id>& excluded);

    /// @brief Records that a run is assigned to an engine; replaces its
    ///     previous assignment.
    /// @param prefill_tokens of its prompt that the engine has to prefill
    void assign(const planned_run& run, const placement& target,
                std::uint64_t prefill_tokens, time_point now);

    /// @brief Records the run's first event: its prompt is prefilled.
    void note_started(const request_id& run);

    /// @brief Removes an ended run and its copy; unknown runs are ignored.
    void release(const request_id& run);

    /// @brief Records that an engine caches a prompt, unless the planner
    ///     already knows where the prompt was last assigned.
    void note_cached_prompt(const std::string& prompt,
                            const upstream_id& engine, time_point now);

    /// @return the usable engine that has recently prefilled the run's prompt
    ///     and has capacity for the run
    [[nodiscard]] std::optional<upstream_id>
    engine_with_prompt(const planned_run& run,
                       const std::set<upstream_id>& excluded,
                       time_point now) const;

    /// @brief Prompt tokens that an engine still has to prefill.
    [[nodiscard]] std::uint64_t
    pending_prefill_tokens(const upstream_id& id) const;
    /// @brief KV cache tokens of the runs and copies on an engine.
    [[nodiscard]] std::uint64_t resident_tokens(const upstream_id& id) const;
    /// @brief Number of runs on an engine.
    [[nodiscard]] std::size_t runs(const upstream_id& id) const;
    /// @brief The runs on an engine and those whose copy it holds.
    [[nodiscard]] std::vector<request_id>
    runs_using(const upstream_id& id) const;
    [[nodiscard]] std::size_t engines() const { return engines_.size(); }
    /// @brief Number of engines of these versions that may receive work.
    [[nodiscard]] std::size_t
    usable_engines(const rollout::version_filter& versions = {}) const;
    /// @brief Reserves the engines of versions that few usable engines have,
    ///     see `planned_engine::reserved`. Call after the engines have been
    ///     updated.
    void reserve_scarce_versions();

private:
    struct load
    {
        std::uint64_t pending_prefill = 0;
        std::uint64_t resident_tokens = 0;
        std::size_t runs = 0;
        std::size_t suspects = 0; ///< runs that may crash it when they begin
        /// Prompt tokens assigned within the window, with their time.
        std::deque<std::pair<time_point, std::uint64_t>> recent_prefills;
    };
    struct assigned_run
    {
        upstream_id engine;
        std::optional<upstream_id> copy_holder;
        std::uint64_t tokens = 0;
        std::uint64_t pending_prefill = 0;
        bool urgent = false;
        std::string prompt;
        bool suspect = false; ///< until its first event
    };
    /// The engine to which a prompt was last assigned.
    struct prompt_location
    {
        upstream_id engine;
        time_point assigned_at;
        bool prefilled = false; ///< its first event arrived
    };

    void record_prompt(const planned_run& run, const placement& target,
                       std::uint64_t prefill_tokens, time_point now);
    [[nodiscard]] double cost(const planned_engine& engine,
                              std::uint64_t prompt_tokens,
                              time_point now) const;
    [[nodiscard]] std::uint64_t recent_prefill_tokens(const load& current,
                                                      time_point now) const;
    [[nodiscard]] const load& load_of(const upstream_id& id) const;
    [[nodiscard]] bool fits(const planned_engine& engine, std::uint64_t tokens,
                            double share) const;
    [[nodiscard]] bool has_run_capacity(const planned_engine& engine,
                                        const planned_run& run,
                                        time_point now) const;

    options settings_;
    std::map<upstream_id, planned_engine> engines_;
    std::map<upstream_id, load> loads_;
    std::map<request_id, assigned_run> runs_;
    std::map<std::string, prompt_location> prompts_;
    /// Prompts in the order of their assignment, to remove expired ones.
    std::deque<std::pair<time_point, std::string>> prompt_order_;
};

} // namespace bamboogate::relay

#endif
