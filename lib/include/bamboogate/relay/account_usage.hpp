#ifndef BAMBOOGATE_RELAY_ACCOUNT_USAGE_HPP
#define BAMBOOGATE_RELAY_ACCOUNT_USAGE_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <cmath>
#include <cstdint>
#include <map>

namespace bamboogate::relay {

/// What each client account has used lately: the tokens of its runs, in full
/// while they run and halved with each half-life after they ended. Orders the
/// accounts of one rank while they compete for engines that are full. Running
/// tokens alone would let an account with many short runs, or one whose callers
/// leave early and come back, take every place that becomes free. Performs no
/// I/O. Not thread safe.
class account_usage
{
public:
    struct options
    {
        /// As long as a typical stream, so that a burst is balanced over the
        /// next few streams and forgotten after a minute.
        duration half_life = std::chrono::seconds(10);
    };

    account_usage() : account_usage(options{}) {}
    explicit account_usage(options settings) : settings_(settings) {}

    /// @brief A run of the account was placed.
    void begin(const client_account_id& account, std::uint64_t tokens)
    {
        accounts_[account].running += tokens;
    }

    /// @brief A run ended, whether complete, broken or left by its caller.
    /// @pre `begin` was called with the same tokens
    void end(const client_account_id& account, std::uint64_t tokens,
             time_point now)
    {
        entry& used = accounts_[account];
        used.running -= tokens;
        used.ended = decayed(used, now) + static_cast<double>(tokens);
        used.updated = now;
    }

    /// @return tokens used lately; 0 for unknown accounts
    [[nodiscard]] double tokens(const client_account_id& account,
                                time_point now) const
    {
        const auto found = accounts_.find(account);
        return found == accounts_.end()
                   ? 0.0
                   : static_cast<double>(found->second.running) +
                         decayed(found->second, now);
    }

    /// @brief Removes accounts without runs whose use no longer counts.
    void expire(time_point now)
    {
        std::erase_if(accounts_, [&](const auto& each) {
            return each.second.running == 0 && decayed(each.second, now) < 1.0;
        });
    }
    [[nodiscard]] std::size_t accounts() const { return accounts_.size(); }

private:
    struct entry
    {
        std::uint64_t running = 0;
        double ended = 0.0; ///< at `updated`
        time_point updated{};
    };

    [[nodiscard]] double decayed(const entry& used, time_point now) const
    {
        if (used.ended == 0.0) {
            return 0.0;
        }
        return used.ended * std::exp2(-to_seconds(now - used.updated) /
                                      to_seconds(settings_.half_life));
    }

    options settings_;
    std::map<client_account_id, entry> accounts_;
};

} // namespace bamboogate::relay

#endif
