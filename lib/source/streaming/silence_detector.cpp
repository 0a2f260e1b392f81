#include <bamboogate/streaming/silence_detector.hpp>

#include <algorithm>
#include <cmath>

namespace bamboogate::streaming {

namespace {

// Weights of the smoothed mean and deviation, as for TCP's round-trip time
// (RFC 6298).
constexpr double mean_weight = 1.0 / 8;
constexpr double deviation_weight = 1.0 / 4;

} // namespace

void silence_detector::start(time_point now, duration expected_first_token)
{
    phase_ = phase::headers;
    last_ = now;
    expected_first_token_ = expected_first_token;
    paused_ = false;
    skip_interval_ = false;
    intervals_ = 0;
    mean_ = 0;
    deviation_ = 0;
}

void silence_detector::on_headers(time_point now)
{
    if (phase_ == phase::headers) {
        phase_ = phase::first_token;
        last_ = now;
    }
}

void silence_detector::on_token(time_point now)
{
    if (phase_ != phase::tokens) {
        phase_ = phase::tokens;
        last_ = now;
        return;
    }
    const double interval = to_seconds(now - last_);
    last_ = now;
    if (skip_interval_) {
        skip_interval_ = false;
        return;
    }
    if (intervals_ == 0) {
        mean_ = interval;
        deviation_ = interval / 2;
    } else {
        deviation_ +=
            deviation_weight * (std::abs(interval - mean_) - deviation_);
        mean_ += mean_weight * (interval - mean_);
    }
    ++intervals_;
}

void silence_detector::pause()
{
    paused_ = true;
}

void silence_detector::resume(time_point now)
{
    paused_ = false;
    skip_interval_ = true;
    last_ = now;
}

duration silence_detector::limit() const
{
    if (settings_.fixed_limit != duration::zero()) {
        return phase_ == phase::tokens
                   ? settings_.fixed_limit
                   : settings_.fixed_limit + expected_first_token_;
    }
    if (phase_ == phase::headers) {
        return settings_.header_limit;
    }
    if (phase_ == phase::first_token) {
        return settings_.first_token_limit + expected_first_token_;
    }
    const std::chrono::duration<double> adaptive(
        settings_.interval_factor * mean_ +
        settings_.deviation_factor * deviation_);
    const auto bounded =
        std::clamp(std::chrono::duration_cast<duration>(adaptive),
                   settings_.min_limit, settings_.max_limit);
    return intervals_ < settings_.warmup_intervals
               ? std::max(bounded, settings_.warmup_limit)
               : bounded;
}

} // namespace bamboogate::streaming
