#ifndef BAMBOOGATE_RELAY_REPEATED_ATTEMPT_HPP
#define BAMBOOGATE_RELAY_REPEATED_ATTEMPT_HPP

#include <bamboogate/core/result.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace bamboogate::relay {

/// An operation that is attempted until it succeeds, fails for good or has no
/// time left for another attempt. It owns itself until then. Not thread safe.
/// @tparam T the value of the operation; may be void
template <typename T>
class repeated_attempt
    : public std::enable_shared_from_this<repeated_attempt<T>>
{
public:
    using callback = std::function<void(result<T>)>;
    /// Makes one attempt and calls back exactly once.
    using attempt = std::function<void(callback)>;

    struct options
    {
        time_point deadline;
        duration delay = std::chrono::milliseconds(60); ///< between attempts
        /// Whether no further attempt can succeed after an error.
        std::function<bool(const error&)> is_final = [](const error&) {
            return false;
        };
    };

    /// @brief Makes the first attempt at once.
    /// @param done receives the outcome of the last attempt
    /// @pre `loop` outlives the operation
    static void start(net::event_loop& loop, options settings, attempt function,
                      callback done)
    {
        std::shared_ptr<repeated_attempt>(
            new repeated_attempt(loop, std::move(settings), std::move(function),
                                 std::move(done)))
            ->run();
    }

private:
    repeated_attempt(net::event_loop& loop, options settings, attempt function,
                     callback done)
        : loop_(loop), settings_(std::move(settings)),
          attempt_(std::move(function)), done_(std::move(done))
    {}

    void run()
    {
        attempt_([self = this->shared_from_this()](result<T> outcome) {
            self->on_outcome(std::move(outcome));
        });
    }

    void on_outcome(result<T> outcome)
    {
        if (outcome || settings_.is_final(outcome.error()) ||
            loop_.now() + settings_.delay >= settings_.deadline) {
            done_(std::move(outcome));
            return;
        }
        timer_ = std::make_unique<net::timer>(
            loop_, [self = this->shared_from_this()] {
                // The timer and the operation own each other until it fires.
                const auto fired = std::move(self->timer_);
                self->run();
            });
        timer_->start_once(settings_.delay);
    }

    net::event_loop& loop_;
    options settings_;
    attempt attempt_;
    callback done_;
    std::unique_ptr<net::timer> timer_;
};

} // namespace bamboogate::relay

#endif
