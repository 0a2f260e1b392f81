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

/// Start-time fair queueing over client accounts, counted in tokens.
///
/// Each account has a tag in virtual time, which is tokens per unit of weight.
/// The account with the smallest tag is served next and its tag advances by
/// what the item is estimated to take. An account that was idle starts at the
/// present virtual time, so it cannot save up service. Unlike deficit round
/// robin, whose delay grows with the number of accounts times the quantum, an
/// account that used little is next at once. Memory is bounded by the declared
/// accounts and by the admitted items. Not thread safe.
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
        std::uint64_t order = 0; ///< breaks ties in order of creation

        // Kept by the owner of the queue:
        unsigned running = 0;
        std::uint64_t unreported = 0; ///< tokens that no report contains yet
        time_point last_active;
        bool active = false;
    };

    /// @param fair false serves all items in order of arrival
    explicit fair_queue(bool fair = true) : fair_(fair) {}

    /// @brief The state of an account, created on first use. The reference
    ///     stays valid for the life of the queue.
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
    void set_weight(account& who, double weight) { who.weight = weight; }

    /// @brief Appends an item, or puts it first for work that is resumed.
    /// @return where it is, for `erase`
    typename std::list<Item>::iterator push(account& who, Item item,
                                            bool front = false)
    {
        if (who.items.empty()) {
            who.tag = std::max(who.tag, now_);
            ready_.insert(&who);
        }
        ++size_;
        if (front) {
            return who.items.insert(who.items.begin(), std::move(item));
        }
        return who.items.insert(who.items.end(), std::move(item));
    }

    void erase(account& who, typename std::list<Item>::iterator where)
    {
        if (who.items.size() == 1) {
            ready_.erase(&who);
        }
        who.items.erase(where);
        --size_;
    }

    /// @brief The account to serve next among those that the filter accepts.
    /// @param filter called with accounts in the order of service
    /// @return null when the filter accepts none of the first `max_visits`
    template <typename Filter>
    account* front(Filter filter, std::size_t max_visits = 64) const
    {
        std::size_t visits = 0;
        for (account* who : ready_) {
            if (filter(*who)) {
                return who;
            }
            if (++visits == max_visits) {
                return nullptr;
            }
        }
        return nullptr;
    }

    /// @brief Takes the first item of an account and charges its estimate.
    /// @pre the account has items
    Item pop(account& who, std::uint64_t estimated_tokens)
    {
        ready_.erase(&who);
        now_ = std::max(now_, who.tag);
        Item item = std::move(who.items.front());
        who.items.pop_front();
        --size_;
        who.tag += virtual_time(who, static_cast<double>(estimated_tokens));
        if (!who.items.empty()) {
            ready_.insert(&who);
        }
        return item;
    }

    /// @brief Corrects an account by tokens above (or below) its estimate.
    void adjust(account& who, double tokens)
    {
        retag(who, who.tag + virtual_time(who, tokens));
    }

    /// @brief Charges tokens that the account got elsewhere.
    /// @param max_debt the account is never more than this behind the others,
    ///     which bounds the effect of wrong or late news
    void charge_remote(account& who, double tokens, double max_debt)
    {
        const double limit = now_ + virtual_time(who, max_debt);
        const double charged =
            std::max(who.tag, now_) + virtual_time(who, tokens);
        retag(who, std::max(who.tag, std::min(charged, limit)));
    }

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] bool empty() const noexcept { return size_ == 0; }
    [[nodiscard]] double virtual_now() const noexcept { return now_; }
    [[nodiscard]] std::size_t backlogged_accounts() const noexcept
    {
        return ready_.size();
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

    [[nodiscard]] double virtual_time(const account& who, double tokens) const
    {
        return fair_ ? tokens / who.weight : 0.0;
    }

    void retag(account& who, double tag)
    {
        const bool waits = !who.items.empty();
        if (waits) {
            ready_.erase(&who);
        }
        who.tag = tag;
        if (waits) {
            ready_.insert(&who);
        }
    }

    bool fair_;
    std::unordered_map<client_account_id, account> accounts_;
    std::set<account*, by_tag> ready_;
    double now_ = 0.0;
    std::uint64_t created_ = 0;
    std::size_t size_ = 0;
};

} // namespace bamboogate::scheduling

#endif
