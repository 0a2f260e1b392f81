#ifndef BAMBOOGATE_SCHEDULING_FAIR_QUEUE_HPP
#define BAMBOOGATE_SCHEDULING_FAIR_QUEUE_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <algorithm>
#include <cstdint>
#include <list>
#include <set>
#include <unordered_map>
#include <utility>

namespace bamboogate::scheduling {

/// Start-time fair queueing over client accounts, measured in tokens.
///
/// Each account has a tag in virtual time, in tokens per unit of weight. The
/// account with the smallest tag is served next, and its tag advances by the
/// item's estimated tokens. An account that was idle starts at the current
/// virtual time, so it cannot accumulate credit. Unlike deficit round robin,
/// whose delay grows with the number of accounts times the quantum, an account
/// with low usage is served next. Memory is bounded by the declared accounts
/// and by the admitted items. Not thread safe.
template <typename Item>
class fair_queue
{
public:
    struct account
    {
        client_account_id id;
        double weight = 1.0;
        double tag = 0.0; ///< virtual time at which it is served next
        std::list<Item> items;
        std::uint64_t order = 0; ///< breaks ties: order of creation

        // Maintained by the owner of the queue:
        unsigned running = 0;
        std::uint64_t unreported = 0; ///< tokens not yet in a usage report
        time_point last_active;
        bool active = false;
    };

    /// @param fair false: all items are served in order of arrival
    explicit fair_queue(bool fair = true) : fair_(fair) {}

    /// @brief The state of an account, created on first use. The reference
    ///     stays valid for the lifetime of the queue.
    account& find_or_create(const client_account_id& id)
    {
        auto [found, is_new] = accounts_.try_emplace(id);
        if (is_new) {
            found->second.id = id;
            found->second.order = ++created_;
            found->second.tag = now_;
        }
        return found->second;
    }

    /// @brief Changes an account's weight. @pre weight > 0
    void set_weight(account& owner, double weight) { owner.weight = weight; }

    /// @brief Appends an item, or prepends it for work that is resumed.
    /// @return its position, for `erase`
    typename std::list<Item>::iterator push(account& owner, Item item,
                                            bool front = false)
    {
        if (owner.items.empty()) {
            owner.tag = std::max(owner.tag, now_);
            backlogged_.insert(&owner);
        }
        ++size_;
        if (front) {
            return owner.items.insert(owner.items.begin(), std::move(item));
        }
        return owner.items.insert(owner.items.end(), std::move(item));
    }

    /// @brief Removes an item without serving it.
    /// @pre the position is from `push` on the same account and still queued
    void erase(account& owner, typename std::list<Item>::iterator position)
    {
        if (owner.items.size() == 1) {
            backlogged_.erase(&owner);
        }
        owner.items.erase(position);
        --size_;
    }

    /// @brief The account to serve next among those that the filter accepts.
    /// @param filter called with accounts in the order of service
    /// @return null when the filter accepts none of the first `max_visits`
    template <typename Filter>
    account* front(Filter filter, std::size_t max_visits = 64) const
    {
        std::size_t visits = 0;
        for (account* owner : backlogged_) {
            if (filter(*owner)) {
                return owner;
            }
            if (++visits == max_visits) {
                return nullptr;
            }
        }
        return nullptr;
    }

    /// @brief Removes the first item of an account and charges its estimate.
    /// @pre the account has items
    Item pop(account& owner, std::uint64_t estimated_tokens)
    {
        backlogged_.erase(&owner);
        now_ = std::max(now_, owner.tag);
        Item item = std::move(owner.items.front());
        owner.items.pop_front();
        --size_;
        owner.tag += virtual_time(owner, static_cast<double>(estimated_tokens));
        if (!owner.items.empty()) {
            backlogged_.insert(&owner);
        }
        return item;
    }

    /// @brief Charges the tokens above the estimate (credits them if negative).
    void adjust(account& owner, double tokens)
    {
        set_tag(owner, owner.tag + virtual_time(owner, tokens));
    }

    /// @brief Charges tokens that the account received at other gates.
    /// @param max_debt limit, in tokens, on how far the charge can put the tag
    ///     ahead of the virtual time; bounds the effect of wrong or late
    ///     reports
    void charge_remote(account& owner, double tokens, double max_debt)
    {
        const double limit = now_ + virtual_time(owner, max_debt);
        const double charged =
            std::max(owner.tag, now_) + virtual_time(owner, tokens);
        set_tag(owner, std::max(owner.tag, std::min(charged, limit)));
    }

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] bool empty() const noexcept { return size_ == 0; }
    [[nodiscard]] double virtual_now() const noexcept { return now_; }
    [[nodiscard]] std::size_t backlogged_accounts() const noexcept
    {
        return backlogged_.size();
    }
    [[nodiscard]] std::unordered_map<client_account_id, account>&
    accounts() noexcept
    {
        return accounts_;
    }

private:
    struct by_tag
    {
        bool operator()(const account* left, const account* right) const
        {
            return std::pair(left->tag, left->order) <
                   std::pair(right->tag, right->order);
        }
    };

    [[nodiscard]] double virtual_time(const account& owner, double tokens) const
    {
        return fair_ ? tokens / owner.weight : 0.0;
    }

    void set_tag(account& owner, double tag)
    {
        const bool backlogged = !owner.items.empty();
        if (backlogged) {
            backlogged_.erase(&owner);
        }
        owner.tag = tag;
        if (backlogged) {
            backlogged_.insert(&owner);
        }
    }

    bool fair_;
    std::unordered_map<client_account_id, account> accounts_;
    std::set<account*, by_tag> backlogged_;
    double now_ = 0.0;
    std::uint64_t created_ = 0;
    std::size_t size_ = 0;
};

} // namespace bamboogate::scheduling

#endif
