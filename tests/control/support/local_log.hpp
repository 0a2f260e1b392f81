#ifndef BAMBOOGATE_TESTS_CONTROL_LOCAL_LOG_HPP
#define BAMBOOGATE_TESTS_CONTROL_LOCAL_LOG_HPP

#include <bamboogate/control/command_log.hpp>
#include <bamboogate/control/state_machine.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace bamboogate::tests {

/// An in-memory log of one process: commits in the next loop iteration. Tests
/// control leadership and the loss of replies.
class local_log : public control::command_log
{
public:
    local_log(net::event_loop& loop, control::state_machine& state)
        : loop_(loop), state_(state)
    {}

    bool leads = true;
    bool lease = true;
    /// Commands are committed, but the proposer gets `outcome_unknown`.
    bool lose_replies = false;
    std::optional<node_id> known_leader;
    std::uint64_t current_term = 1;

    void set_leader(bool now_leads)
    {
        leads = now_leads;
        current_term += 1;
        for (const auto& observer : observers_) {
            observer(now_leads);
        }
    }

    void propose(std::string command, proposal_callback callback) override
    {
        if (!leads) {
            loop_.post([callback] { callback(fail(errc::not_leader)); });
            return;
        }
        loop_.post([this, command = std::move(command), callback] {
            const consensus::log_position position{current_term, ++index_};
            const bool lost = lose_replies;
            auto response = state_.apply(position, command);
            if (lost) {
                callback(fail(errc::outcome_unknown));
                return;
            }
            callback(consensus::proposal_result{position, std::move(response)});
        });
    }

    [[nodiscard]] bool is_leader() const override { return leads; }
    [[nodiscard]] bool has_lease() const override { return leads && lease; }
    [[nodiscard]] std::optional<node_id> leader() const override
    {
        return known_leader;
    }
    [[nodiscard]] std::uint64_t term() const override { return current_term; }
    [[nodiscard]] consensus::log_position applied() const override
    {
        return {current_term, index_};
    }
    void on_role_change(std::function<void(bool)> observer) override
    {
        observers_.push_back(std::move(observer));
    }
    void transfer_leadership(completion callback) override
    {
        set_leader(false);
        loop_.post([callback] { callback(outcome::success()); });
    }
    void add_learner(const node_id& node, completion callback) override
    {
        finish("add_learner", node, callback);
    }
    void promote(const node_id& node, completion callback) override
    {
        finish("promote", node, callback);
    }
    void remove(const node_id& node, completion callback) override
    {
        finish("remove", node, callback);
    }
    [[nodiscard]] std::vector<consensus::member_status> members() const override
    {
        return {};
    }

    std::vector<std::pair<std::string, node_id>> member_changes;

private:
    void finish(const char* action, const node_id& node,
                const completion& callback)
    {
        member_changes.emplace_back(action, node);
        loop_.post([callback] { callback(outcome::success()); });
    }

    net::event_loop& loop_;
    control::state_machine& state_;
    std::uint64_t index_ = 0;
    std::vector<std::function<void(bool)>> observers_;
};

} // namespace bamboogate::tests

#endif
