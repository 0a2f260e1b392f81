#ifndef BAMBOOGATE_CONTROL_COMMAND_LOG_HPP
#define BAMBOOGATE_CONTROL_COMMAND_LOG_HPP

#include <bamboogate/consensus/replica.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bamboogate::control {

/// Interface of the replicated log as used by the control service. Tests
/// substitute an in-process log. Each member function has the contract of
/// `consensus::replica`.
class command_log
{
public:
    using completion = std::function<void(result<void>)>;
    using proposal_callback =
        std::function<void(result<consensus::proposal_result>)>;

    virtual ~command_log() = default;
    virtual void propose(std::string command, proposal_callback callback) = 0;
    [[nodiscard]] virtual bool is_leader() const = 0;
    [[nodiscard]] virtual bool has_lease() const = 0;
    [[nodiscard]] virtual std::optional<node_id> leader() const = 0;
    [[nodiscard]] virtual std::uint64_t term() const = 0;
    [[nodiscard]] virtual consensus::log_position applied() const = 0;
    /// @brief The failure because of which the log accepts nothing now.
    [[nodiscard]] virtual std::optional<error> failure() const
    {
        return std::nullopt;
    }
    virtual void on_role_change(std::function<void(bool)> observer) = 0;
    virtual void transfer_leadership(completion callback) = 0;
    virtual void add_learner(const node_id& node, completion callback) = 0;
    virtual void promote(const node_id& node, completion callback) = 0;
    virtual void remove(const node_id& node, completion callback) = 0;
    [[nodiscard]] virtual std::vector<consensus::member_status>
    members() const = 0;
};

/// A `command_log` backed by a `consensus::replica`.
class replica_log : public command_log
{
public:
    /// @param target must outlive the log
    explicit replica_log(consensus::replica& target) : target_(target) {}

    void propose(std::string command, proposal_callback callback) override
    {
        target_.propose(std::move(command), std::move(callback));
    }
    [[nodiscard]] bool is_leader() const override
    {
        return target_.is_leader();
    }
    [[nodiscard]] bool has_lease() const override
    {
        return target_.has_lease();
    }
    [[nodiscard]] std::optional<node_id> leader() const override
    {
        return target_.leader();
    }
    [[nodiscard]] std::uint64_t term() const override { return target_.term(); }
    [[nodiscard]] consensus::log_position applied() const override
    {
        return target_.applied();
    }
    [[nodiscard]] std::optional<error> failure() const override
    {
        return target_.failure();
    }
    void on_role_change(std::function<void(bool)> observer) override
    {
        target_.on_role_change(std::move(observer));
    }
    void transfer_leadership(completion callback) override
    {
        target_.transfer_leadership(std::move(callback));
    }
    void add_learner(const node_id& node, completion callback) override
    {
        target_.add_learner(node, std::move(callback));
    }
    void promote(const node_id& node, completion callback) override
    {
        target_.promote(node, std::move(callback));
    }
    void remove(const node_id& node, completion callback) override
    {
        target_.remove(node, std::move(callback));
    }
    [[nodiscard]] std::vector<consensus::member_status> members() const override
    {
        return target_.members();
    }

private:
    consensus::replica& target_;
};

} // namespace bamboogate::control

#endif
