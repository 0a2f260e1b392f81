#ifndef BAMBOOGATE_STREAMING_SILENCE_DETECTOR_HPP
#define BAMBOOGATE_STREAMING_SILENCE_DETECTOR_HPP

#include <bamboogate/core/time.hpp>

#include <cstdint>

namespace bamboogate::streaming {

/// Judges the silence of one engine stream against the stream's own interval
/// between tokens. Pure: time is an argument.
class silence_detector
{
public:
    struct options
    {
        /// Until the response headers: the engine answers them on arrival.
        duration header_limit = std::chrono::milliseconds(500);
        /// From the headers to the first token, beyond the expected time.
        duration first_token_limit = std::chrono::seconds(2);
        /// Lower bound; covers stalls while an engine prefills other prompts.
        duration min_limit = std::chrono::milliseconds(250);
        /// Upper bound; the caller's limit of 5 s needs room for a prefill.
        duration max_limit = std::chrono::seconds(3);
        /// Used until `warmup_intervals` intervals were seen.
        duration warmup_limit = std::chrono::milliseconds(500);
        unsigned warmup_intervals = 4;
        double interval_factor = 6.0;
        double deviation_factor = 4.0;
        /// Fixed limit instead of the adaptive one, for the baseline; zero
        /// means adaptive.
        duration fixed_limit = duration::zero();
    };

    explicit silence_detector(const options& settings) : settings_(settings) {}

    /// @brief The request was sent.
    /// @param expected_first_token extends the bound before the first token
    void start(time_point now, duration expected_first_token);

    void on_headers(time_point now);
    void on_token(time_point now);

    /// @brief Stops judging while our side takes no input.
    void pause();
    /// @brief Judges again; the time paused does not count as an interval.
    void resume(time_point now);

    /// @brief Silence that is still accepted at this point of the stream.
    [[nodiscard]] duration limit() const;

    /// @brief When the stream is judged silent if nothing arrives.
    [[nodiscard]] time_point deadline() const { return last_ + limit(); }

    /// @brief A shorter judgement, for an engine whose announcements say that
    ///     it has ended.
    [[nodiscard]] bool exceeds_min_limit(time_point now) const
    {
        return !paused_ && now >= last_ + settings_.min_limit;
    }

    [[nodiscard]] bool is_silent(time_point now) const
    {
        return !paused_ && now >= deadline();
    }

private:
    enum class phase : std::uint8_t
    {
        headers,
        first_token,
        tokens,
    };

    options settings_;
    phase phase_ = phase::headers;
    time_point last_{};
    duration expected_first_token_{};
    bool paused_ = false;
    bool skip_interval_ = false;
    std::uint64_t intervals_ = 0;
    double mean_ = 0; ///< seconds
    double deviation_ = 0;
};

} // namespace bamboogate::streaming

#endif
