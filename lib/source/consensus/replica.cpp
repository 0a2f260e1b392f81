#include <bamboogate/consensus/replica.hpp>
#include <bamboogate/consensus/replica_core.hpp>

namespace bamboogate::consensus {

struct replica::impl : replica_core
{
    using replica_core::replica_core;
};

replica::replica(std::unique_ptr<impl> state) : impl_(std::move(state)) {}
replica::~replica() = default;

result<std::unique_ptr<replica>> replica::start(net::event_loop& loop,
                                                net::link_hub& hub,
                                                replicated_state& state,
                                                options settings)
{
    auto core = std::make_unique<impl>(loop, hub, state, std::move(settings));
    BOOST_OUTCOME_TRYV(core->open());
    return std::unique_ptr<replica>(new replica(std::move(core)));
}

void replica::propose(std::string command,
                      std::function<void(result<proposal_result>)> callback)
{
    impl_->propose(std::move(command), std::move(callback));
}

bool replica::is_leader() const
{
    return impl_->is_leader();
}

bool replica::has_lease() const
{
    return impl_->has_lease();
}

std::optional<node_id> replica::leader() const
{
    return impl_->leader();
}

std::uint64_t replica::term() const
{
    return impl_->term();
}

log_position replica::applied() const
{
    return impl_->applied();
}

void replica::on_role_change(role_observer observer)
{
    impl_->on_role_change(std::move(observer));
}

void replica::on_failure(std::function<void(const error&)> observer)
{
    impl_->on_failure(std::move(observer));
}

const std::optional<error>& replica::failure() const
{
    return impl_->failure();
}

bool replica::recovers_from(const error& problem)
{
    return replica_core::is_retried(problem);
}

void replica::transfer_leadership(completion callback,
                                  std::span<const node_id> avoided)
{
    impl_->transfer_leadership(std::move(callback), avoided);
}

void replica::add_learner(node_id node, completion callback)
{
    impl_->change_members([&](raft& core) { return core.add_learner(node); },
                          std::move(callback));
}

void replica::promote(node_id node, completion callback)
{
    const time_point now = impl_->now();
    impl_->change_members([&](raft& core) { return core.promote(node, now); },
                          std::move(callback));
}

void replica::remove(node_id node, completion callback)
{
    impl_->change_members([&](raft& core) { return core.remove(node); },
                          std::move(callback));
}

std::vector<member_status> replica::members() const
{
    return impl_->members();
}

incarnation replica::folder_id() const
{
    return impl_->folder_id();
}

} // namespace bamboogate::consensus
