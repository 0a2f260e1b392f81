#ifndef BAMBOOGATE_STREAMING_SILENCE_DETECTOR_HPP
#define BAMBOOGATE_STREAMING_SILENCE_DETECTOR_HPP

#include <bamboogate/core/time.hpp>

#include <cstdint>

namespace bamboogate::streaming {

/// Detects a stalled engine stream by comparing the time without input with the
/// stream's own interval between tokens. Performs no I/O; the time is an
/// argument.
class silence_detector
{
public:
    struct options
    {
        /// Until the response headers, which engines send on arrival of a
        /// request.
        duration header_limit = std::chrono::milliseconds(500);
        /// From the headers to the first token, in addition to the expected
        /// time.
        duration first_token_limit = std::chrono::seconds(2);
        /// Lower bound of the adaptive limit; covers stalls while an engine
        /// prefills other prompts.
        duration min_limit = std::chrono::milliseconds(250);
        /// Upper bound of the adaptive limit; leaves room for a prefill within
        /// the caller's limit of 5 s.
        duration max_limit = std::chrono::seconds(3);
        /// Lower bound until `warmup_intervals` intervals were measured.
        duration warmup_limit = std::chrono::milliseconds(500);
        unsigned warmup_intervals = 4;
        double interval_factor = 6.0;
        double deviation_factor = 4.0;
        /// Fixed limit instead of the adaptive one (benchmark baseline); zero
        /// selects the adaptive limit.
        duration fixed_limit = duration::zero();
    };

    explicit silence_detector(const options& settings) : settings_(settings) {}

    /// @brief Starts the measurement when the request is sent.
    /// @param expected_first_token extends the limit before the first token
    void start(time_point now, duration expected_first_token);

    void on_headers(time_point now);
    void on_token(time_point now);

    /// @brief Suspends detection while this side reads no input.
    void pause();
    /// @brief Resumes detection; the paused time is not measured as an
    ///     interval.
    void resume(time_point now);

    /// @brief Maximum time without input in the current phase of the stream.
    [[nodiscard]] duration limit() const;

    /// @brief When the stream counts as silent if nothing arrives.
    [[nodiscard]] time_point deadline() const { return last_ + limit(); }

    /// @brief Whether the silence exceeds `min_limit`, the shorter limit for an
    ///     engine that is known to have ended.
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
