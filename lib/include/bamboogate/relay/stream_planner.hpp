#ifndef BAMBOOGATE_RELAY_STREAM_PLANNER_HPP
#define BAMBOOGATE_RELAY_STREAM_PLANNER_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bamboogate::relay {

/// An engine as the planner sees it.
struct planned_engine
{
    upstream_id id;
    failure_domain_id domain;
    std::uint64_t kv_capacity_tokens = 0; ///< shared by runs and copies
    unsigned slots = 0;
    bool usable = true;  ///< ready and not suspended
    double slowdown = 1; ///< time per unit of work against a usual engine
};

/// A stream that needs an engine.
struct planned_run
{
    request_id id;
    unsigned rank = 0;   ///< lower ones are placed first
    bool urgent = false; ///< of the kind of request whose loss costs most
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    /// Names the prompt: an engine that has read it before may still have it
    /// in memory. Empty: unknown.
    std::string prompt = {};
};

/// Where a stream runs and who keeps a copy of its memory.
struct placement
{
    upstream_id engine;
    std::optional<upstream_id> copy_holder;
};

/// Places streams on engines by the work that each engine still has to do.
/// A prompt that an engine has to read delays every stream there, so the
/// unread prompt tokens weigh most; memory that runs and copies hold comes
/// next. Copies go to another failure domain, because engines of one domain
/// tend to fail together. Pure. Not thread safe.
class stream_planner
{
public:
    struct options
    {
        /// Cost of one resident token in units of one unread prompt token.
        double resident_weight = 0.1;
        /// Share of an engine's memory that runs may plan to fill; the rest
        /// is for output beyond the estimate.
        double memory_share = 0.95;
        /// A copy is kept only while its holder is filled to at most this
        /// share: memory that copies take is missing for runs.
        double copy_memory_share = 0.92;
        /// The same for urgent runs, whose loss costs most.
        double urgent_copy_memory_share = 0.97;
        /// Unread prompt tokens that an engine may have before a new one, so
        /// that the new prompt is read in time.
        std::uint64_t max_pending_prefill_tokens = 24000;
        /// Prompt tokens that an engine may be given within `prefill_window`.
        /// While an engine reads a prompt, its streams get one token per
        /// chunk; an engine that reads all the time finishes none of them
        /// before its deadline. This is half of what it could read.
        std::uint64_t max_prefill_tokens = 28000;
        duration prefill_window = std::chrono::seconds(8);
        /// The same for urgent runs.
        std::uint64_t urgent_max_prefill_tokens = 36000;
        /// Cost of one prompt token given within the window, in units of one
        /// unread prompt token.
        double prefill_weight = 0.15;
        /// How long an engine is taken to keep a prompt that it has read. Its
        /// memory turns over within one stream or two, which last 6 to 9 s.
        duration prompt_retention = std::chrono::seconds(15);
        /// Share of an engine's memory that may be in use for a stream whose
        /// prompt it keeps: the prompt takes no more room than it has.
        double cached_prompt_memory_share = 1.0;
    };

    /// Whether a run may be put on an engine that has no room for it yet.
    enum class capacity_policy : std::uint8_t
    {
        required,
        preferred,
    };

    stream_planner() : stream_planner(options{}) {}
    explicit stream_planner(options settings) : settings_(settings) {}

    /// @brief Adds an engine or replaces what is known of it.
    void update_engine(const planned_engine& engine);

    /// @brief Marks every engine as not usable, before those that are get
    ///     their update.
    void suspend_all();

    /// @brief Removes an engine; its runs stay until they end.
    void remove_engine(const upstream_id& id);

    /// @brief Picks an engine and a holder for the copy.
    /// @param excluded engines that this run has failed on
    /// @return nothing when no usable engine is left, or none has room where
    ///     that is required
    [[nodiscard]] std::optional<placement>
    choose(const planned_run& run, const std::set<upstream_id>& excluded,
           time_point now,
           capacity_policy needed = capacity_policy::preferred) const;

    /// @brief Picks a holder for the copy of a run on `engine`.
    [[nodiscard]] std::optional<upstream_id>
    choose_copy_holder(const planned_run& run, const upstream_id& engine,
                       const std::set<upstream_id>& excluded) const;

    /// @brief Gives a running stream another holder for its copy in place of
    ///     the one that it had.
    /// @return nothing when no engine has room or the run is not known
    std::optional<upstream_id>
    replace_copy_holder(const request_id& run,
                        const std::set<upstream_id>& excluded);

    /// @brief Notes that a run is on an engine from now on.
    /// @param unread_tokens of its prompt that the engine has to read
    void assign(const planned_run& run, const placement& where,
                std::uint64_t unread_tokens, time_point now);

    /// @brief The run's first event was seen: its prompt is read.
    void note_started(const request_id& run);

    void release(const request_id& run);

    /// @brief Notes that an engine keeps a prompt, unless the planner itself
    ///     knows where the prompt was given last.
    void note_cached_prompt(const std::string& prompt,
                            const upstream_id& engine, time_point now);

    /// @return the usable engine that has read a run's prompt lately and has
    ///     room for the run
    [[nodiscard]] std::optional<upstream_id>
    engine_with_prompt(const planned_run& run,
                       const std::set<upstream_id>& excluded,
                       time_point now) const;

    /// @brief Prompt tokens that an engine has yet to read.
    [[nodiscard]] std::uint64_t
    pending_prefill_tokens(const upstream_id& id) const;
    /// @brief Tokens of runs and copies on an engine.
    [[nodiscard]] std::uint64_t resident_tokens(const upstream_id& id) const;
    [[nodiscard]] std::size_t runs(const upstream_id& id) const;
    [[nodiscard]] std::size_t engines() const { return engines_.size(); }
    /// @brief Number of engines that may be given work.
    [[nodiscard]] std::size_t usable_engines() const;

private:
    struct load
    {
        std::uint64_t unread = 0;
        std::uint64_t resident = 0;
        std::size_t runs = 0;
        /// Prompts given within the window, and their sum.
        std::deque<std::pair<time_point, std::uint64_t>> reads;
    };
    struct assigned_run
    {
        upstream_id engine;
        std::optional<upstream_id> copy_holder;
        std::uint64_t tokens = 0;
        std::uint64_t unread = 0;
        bool urgent = false;
        std::string prompt;
    };
    /// The engine that was given a prompt last.
    struct prompt_place
    {
        upstream_id engine;
        time_point given;
        bool read = false; ///< its first event was seen
    };

    void remember_prompt(const planned_run& run, const placement& where,
                         std::uint64_t unread_tokens, time_point now);
    [[nodiscard]] double cost(const planned_engine& engine,
                              std::uint64_t prompt_tokens,
                              time_point now) const;
    [[nodiscard]] std::uint64_t recent_reads(const load& current,
                                             time_point now) const;
    [[nodiscard]] const load& load_of(const upstream_id& id) const;
    [[nodiscard]] bool fits(const planned_engine& engine, std::uint64_t tokens,
                            double share) const;
    [[nodiscard]] bool has_room(const planned_engine& engine,
                                const planned_run& run, time_point now) const;

    options settings_;
    std::map<upstream_id, planned_engine> engines_;
    std::map<upstream_id, load> loads_;
    std::map<request_id, assigned_run> runs_;
    std::map<std::string, prompt_place> prompts_;
    /// Prompts in the order in which they were given, to forget the oldest.
    std::deque<std::pair<time_point, std::string>> prompt_order_;
};

} // namespace bamboogate::relay

#endif
