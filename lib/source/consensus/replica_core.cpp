#include <bamboogate/consensus/log_events.hpp>
#include <bamboogate/consensus/replica_core.hpp>
#include <bamboogate/core/secret.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace bamboogate::consensus {

namespace {

/// Generates the id of an empty data folder. Derived from the wall clock, so
/// that it is larger than the id of the folder that it replaces.
incarnation generate_folder_id()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return {static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
            .count())};
}

/// Longest delay of the next attempt to open a failed store: half of the time
/// that the platform grants a replica to catch up.
constexpr duration longest_reopen_delay = std::chrono::seconds(2);

membership initial_members(const std::vector<node_id>& voters)
{
    membership out;
    for (const auto& node : voters) {
        out.members.push_back({.node = node,
                               .folder = {},
                               .role = member_role::voter,
                               .promote_when_caught_up = false});
    }
    return out;
}

} // namespace

replica_core::replica_core(net::event_loop& loop, net::link_hub& hub,
                           replicated_state& state, replica::options settings)
    : loop_(loop), hub_(hub), state_(state), settings_(std::move(settings)),
      storage_thread_(loop), tick_timer_(
                                 loop,
                                 [this] {
                                     core_->tick(loop_.now());
                                     check_storage_stall();
                                     on_input();
                                 },
                                 net::loop_priority::control),
      transfer_timer_(loop,
                      [this] {
                          finish_transfer(
                              fail(errc::deadline_exceeded,
                                   "no other voter became leader in time"));
                      }),
      reopen_timer_(loop, [this] { reopen(); })
{}

replica_core::~replica_core()
{
    *alive_ = false;
}

void replica_core::post(std::function<void()> function)
{
    loop_.post([alive = alive_, function = std::move(function)] {
        if (*alive) {
            function();
        }
    });
}

result<void> replica_core::open()
{
    const bool timing_valid =
        settings_.heartbeat_interval > duration::zero() &&
        settings_.heartbeat_interval * 2 < settings_.election_timeout;
    if (!timing_valid || settings_.snapshot_interval_entries == 0) {
        return fail(errc::invalid_argument,
                    "the election timeout must exceed two heartbeats, and "
                    "snapshot_interval_entries must be positive");
    }
    BOOST_OUTCOME_TRYV(load());
    register_handlers();
    start_ticks();
    return outcome::success();
}

void replica_core::start_ticks()
{
    tick_timer_.start_periodic(std::max<duration>(
        settings_.heartbeat_interval / 4, std::chrono::milliseconds(1)));
}

result<void> replica_core::load()
{
    const bool reopening = core_ != nullptr;
    BOOST_OUTCOME_TRY(store,
                      log_store::open({.folder = settings_.data_folder,
                                       .files = settings_.files,
                                       .new_folder_id = generate_folder_id(),
                                       .rewrite_newest_segment = reopening}));
    store_ = std::move(store);
    folder_ = store_->folder_id();
    log_store::contents stored = store_->take_contents();
    if (stored.torn_bytes != 0) {
        observability::log(log_events::torn_tail_cut,
                           {{"bytes", stored.torn_bytes}});
    }
    if (stored.snapshot.last.index == 0) {
        stored.snapshot.members = initial_members(settings_.initial_voters);
    } else if (stored.snapshot.last.index > applied_.index) {
        BOOST_OUTCOME_TRY(data, store_->read_snapshot());
        BOOST_OUTCOME_TRYV(state_.restore(data));
        applied_ = stored.snapshot.last;
    }
    snapshot_ = stored.snapshot.last;
    bytes_after_snapshot_ = 0;
    for (const auto& each : stored.entries) {
        bytes_after_snapshot_ +=
            each.position.index <= applied_.index ? each.data.size() : 0;
    }
    const auto entries = stored.entries.size();
    auto core = std::make_unique<raft>(
        raft::options{.self = hub_.self().node,
                      .folder = folder_,
                      .election_timeout = settings_.election_timeout,
                      .heartbeat_interval = settings_.heartbeat_interval,
                      // The remaining fifth covers clock drift and the time
                      // between checking a lease and relying on it.
                      .lease_duration = settings_.election_timeout * 4 / 5,
                      .random = &random_u64},
        raft::stored_state{std::move(stored.hard), std::move(stored.snapshot),
                           std::move(stored.entries), applied_.index},
        loop_.now());
    // Applied entries were synced before they were applied.
    if (core->log().last().index < applied_.index ||
        core->log().term_at(applied_.index) != applied_.term) {
        return fail(
            errc::storage_corrupt,
            fmt::format("entry {} was applied and is missing", applied_.index));
    }
    core_ = std::move(core);
    written_ = core_->log().last();
    observability::log(log_events::replica_started,
                       {{"folder", folder_.value},
                        {"term", core_->term()},
                        {"snapshot", snapshot_.index},
                        {"entries", entries}});
    const member* self = core_->members().find(hub_.self().node);
    if (self != nullptr && self->folder.value != 0 && self->folder != folder_) {
        observability::log(
            log_events::folder_refused,
            {{"configured", self->folder.value}, {"folder", folder_.value}});
    }
    return outcome::success();
}

bool replica_core::is_retried(const error& problem)
{
    return problem.code == errc::storage_full ||
           problem.code == errc::storage_failed;
}

void replica_core::schedule_reopen()
{
    reopen_timer_.start_once(reopen_delay_);
    reopen_delay_ = std::min(reopen_delay_ * 2, longest_reopen_delay);
}

void replica_core::reopen()
{
    // Releases the lock of the folder.
    store_.reset();
    if (const auto outcome = load(); !outcome) {
        if (is_retried(outcome.error())) {
            schedule_reopen();
        } else {
            stop(outcome.error());
        }
        return;
    }
    hard_pending_ = false;
    failure_.reset();
    observability::log(log_events::replica_recovered,
                       {{"term", core_->term()}, {"applied", applied_.index}});
    start_ticks();
    on_input();
}

template <net::LinkMessage Body>
void replica_core::register_handler()
{
    hub_.on<Body>(
        [this, alive = alive_](const net::peer_info& peer, const Body& body) {
            if (!*alive || failure_) {
                return;
            }
            core_->receive(peer.node, body, loop_.now());
            on_input();
        });
}

void replica_core::register_handlers()
{
    register_handler<request_pre_vote>();
    register_handler<request_pre_vote_reply>();
    register_handler<request_vote>();
    register_handler<request_vote_reply>();
    register_handler<append_entries>();
    register_handler<append_entries_reply>();
    register_handler<install_snapshot>();
    register_handler<install_snapshot_reply>();
    register_handler<timeout_now>();
}

void replica_core::propose(std::string command, proposal_callback callback)
{
    result<log_position> position = fail(errc::internal);
    if (failure_) {
        position = *failure_;
    } else if (command.size() > settings_.max_command_bytes) {
        position = fail(errc::limit_exceeded, "the command is too large");
    } else {
        position = core_->propose(std::move(command));
    }
    if (!position) {
        post([callback = std::move(callback),
              problem = std::move(position).error()] { callback(problem); });
        return;
    }
    pending_[position.value().index] = {position.value().term,
                                        std::move(callback)};
    on_input();
}

void replica_core::change_members(
    const std::function<result<log_position>(raft&)>& change,
    replica::completion callback)
{
    result<log_position> position = fail(errc::internal);
    if (failure_) {
        position = *failure_;
    } else {
        position = change(*core_);
    }
    if (!position) {
        post([callback = std::move(callback),
              problem = std::move(position).error()] { callback(problem); });
        return;
    }
    pending_[position.value().index] = {
        position.value().term,
        [callback = std::move(callback)](result<proposal_result> outcome) {
            if (!outcome) {
                callback(std::move(outcome).error());
                return;
            }
            callback(outcome::success());
        }};
    on_input();
}

void replica_core::transfer_leadership(replica::completion callback,
                                       std::span<const node_id> avoided)
{
    result<node_id> target = fail(errc::internal);
    if (failure_) {
        target = *failure_;
    } else {
        target = core_->transfer_leadership(loop_.now(), avoided);
    }
    if (!target) {
        post([callback = std::move(callback),
              problem = std::move(target).error()] { callback(problem); });
        return;
    }
    observability::log(log_events::transfer_started,
                       {{"target", target.value().value()}});
    transfer_callback_ = std::move(callback);
    transfer_timer_.start_once(settings_.election_timeout * 3);
    on_input();
}

void replica_core::finish_transfer(result<void> outcome)
{
    transfer_timer_.stop();
    if (auto callback = std::exchange(transfer_callback_, nullptr)) {
        post([callback = std::move(callback), outcome = std::move(outcome)] {
            callback(outcome);
        });
    }
}

void replica_core::on_role_change(replica::role_observer observer)
{
    role_observers_.push_back(std::move(observer));
}

void replica_core::on_failure(std::function<void(const error&)> observer)
{
    failure_observers_.push_back(std::move(observer));
}

bool replica_core::is_leader() const
{
    return !failure_ && leading_ && core_->role() == raft_role::leader;
}

bool replica_core::has_lease() const
{
    return is_leader() && core_->has_lease(loop_.now());
}

std::optional<node_id> replica_core::leader() const
{
    if (failure_ || core_->leader().empty()) {
        return std::nullopt;
    }
    return core_->leader();
}

std::vector<member_status> replica_core::members() const
{
    std::vector<member_status> out;
    const time_point now = loop_.now();
    for (const auto& each : core_->members().members) {
        member_status status{.node = each.node,
                             .folder = each.folder,
                             .role = each.role,
                             .reachable = hub_.is_up(each.node),
                             .match_index = 0};
        if (each.node == hub_.self().node) {
            status.reachable = true;
            status.match_index = written_.index;
        }
        if (const member_progress* peer = core_->progress(each.node)) {
            status.reachable =
                now - peer->last_contact < settings_.election_timeout;
            status.match_index = peer->match;
        }
        out.push_back(std::move(status));
    }
    return out;
}

} // namespace bamboogate::consensus
