#include <consensus/support/simulated_cluster.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace bamboogate::consensus {

namespace {

constexpr std::size_t chunk_bytes = 7; // splits small snapshots into chunks

std::uint64_t mix(std::uint64_t digest, const entry& each)
{
    std::uint64_t out = digest ^ (each.position.index * 0x9e3779b97f4a7c15u);
    for (const char c : each.data) {
        out = (out ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
    }
    return out;
}

} // namespace

simulated_cluster::simulated_cluster(const options& settings)
    : random(settings.seed), settings_(settings)
{
    membership initial;
    for (unsigned i = 0; i < settings.voters; ++i) {
        initial.members.push_back({.node = node_id(fmt::format("n{}", i))});
    }
    for (unsigned i = 0; i < settings.voters; ++i) {
        node& added = add_node();
        added.disk.snapshot.members = initial;
        start(added);
    }
}

simulated_cluster::node& simulated_cluster::add_node()
{
    auto created = std::make_unique<node>();
    created->id = node_id(fmt::format("n{}", nodes_.size()));
    created->clock_offset = std::chrono::seconds(random() % 1000);
    created->folder = incarnation{next_folder_++};
    nodes_.push_back(std::move(created));
    return *nodes_.back();
}

bool simulated_cluster::chance(double probability)
{
    return std::uniform_real_distribution<>(0.0, 1.0)(random) < probability;
}

void simulated_cluster::start(node& target)
{
    target.applied = target.disk.snapshot.last;
    target.snapshot_index = target.applied.index;
    target.digest = 0;
    std::from_chars(target.disk_snapshot.data(),
                    target.disk_snapshot.data() + target.disk_snapshot.size(),
                    target.digest);
    target.core = std::make_unique<raft>(
        raft::options{.self = target.id,
                      .folder = target.folder,
                      .max_batch_bytes = 64,
                      .max_in_flight_bytes = 400,
                      .retained_entries = settings_.retained_entries,
                      .random = [this] { return random(); }},
        target.disk, now_at(target));
}

void simulated_cluster::restart(node& target)
{
    start(target);
}

void simulated_cluster::crash(node& target)
{
    // The disk may hold any prefix of the unsynced writes.
    bool all = true;
    for (auto& work : target.pending) {
        if (!all) {
            break;
        }
        all = chance(0.5);
        const std::size_t kept =
            all ? work.entries.size() : random() % (work.entries.size() + 1);
        if (all) {
            persist(target, work, kept);
        } else if (chance(0.5)) {
            work.installed.reset();
            persist(target, work, kept);
        }
    }
    target.pending.clear();
    target.sync_ends.reset();
    target.hard_pending = false;
    target.core.reset();
}

void simulated_cluster::lose_disk(node& target)
{
    const membership initial = [this] {
        membership out;
        for (unsigned i = 0; i < settings_.voters; ++i) {
            out.members.push_back({.node = nodes_[i]->id});
        }
        return out;
    }();
    target.disk = {};
    target.disk.snapshot.members = initial;
    target.disk_snapshot.clear();
    target.folder = incarnation{next_folder_++};
}

void simulated_cluster::set_isolated(const node_id& id, bool isolated)
{
    isolated_[id] = isolated;
}

void simulated_cluster::clear_faults()
{
    isolated_.clear();
    set_faults(0, 0);
}

void simulated_cluster::set_faults(double drop, double duplicate)
{
    settings_.drop = drop;
    settings_.duplicate = duplicate;
}

simulated_cluster::node* simulated_cluster::find(const node_id& id)
{
    for (auto& each : nodes_) {
        if (each->id == id) {
            return each.get();
        }
    }
    return nullptr;
}

simulated_cluster::node* simulated_cluster::leader()
{
    node* out = nullptr;
    for (auto& each : nodes_) {
        const bool leads = each->core && each->core->committed_in_term();
        if (leads &&
            (out == nullptr || each->core->term() > out->core->term())) {
            out = each.get();
        }
    }
    return out;
}

bool simulated_cluster::propose()
{
    for (auto& each : nodes_) {
        if (each->core && each->core->role() == raft_role::leader) {
            const bool done =
                each->core->propose(fmt::format("command {}", next_command_++))
                    .has_value();
            process(*each);
            return done;
        }
    }
    return false;
}

void simulated_cluster::run_for(duration time)
{
    const time_point end = now_ + time;
    while (now_ < end && problem.empty()) {
        step();
    }
}

void simulated_cluster::step()
{
    now_ += std::chrono::milliseconds(1);
    while (!network_.empty() && network_.begin()->first <= now_) {
        const packet arrived = std::move(network_.begin()->second);
        network_.erase(network_.begin());
        node* to = find(arrived.content.to);
        if (to == nullptr || !to->core || isolated_[to->id] ||
            isolated_[arrived.from]) {
            continue;
        }
        to->core->receive(arrived.from, arrived.content.body, now_at(*to));
        process(*to);
    }
    for (auto& each : nodes_) {
        if (!each->core) {
            continue;
        }
        each->core->tick(now_at(*each));
        process(*each);
        if (each->sync_ends && *each->sync_ends <= now_) {
            end_sync(*each);
        }
        check_leader(*each);
    }
    const auto lease_holders =
        std::count_if(nodes_.begin(), nodes_.end(), [this](const auto& each) {
            return each->core && each->core->has_lease(now_at(*each));
        });
    if (lease_holders > 1) {
        problem = "two replicas hold a valid lease";
    }
}

void simulated_cluster::process(node& target)
{
    raft::output work = target.core->take_output(now_at(target));
    if (work.empty()) {
        return;
    }
    target.hard_pending = target.hard_pending || work.hard.has_value();
    if (target.hard_pending) {
        work.messages_after_sync.insert(work.messages_after_sync.begin(),
                                        work.messages.begin(),
                                        work.messages.end());
    } else {
        for (const auto& each : work.messages) {
            send(target, each);
        }
    }
    work.messages.clear();
    target.pending.push_back(std::move(work));
    if (!target.sync_ends) {
        const auto spread = static_cast<std::uint64_t>(
            std::max<duration>(settings_.max_sync, duration(1)).count());
        target.sync_ends =
            now_ + duration(static_cast<duration::rep>(random() % spread));
    }
}

void simulated_cluster::persist(node& target, raft::output& work,
                                std::size_t entries)
{
    raft::stored_state& disk = target.disk;
    if (work.hard) {
        disk.hard = *work.hard;
    }
    if (work.installed) {
        disk.snapshot = work.installed->info;
        disk.entries.clear();
        target.disk_snapshot = work.installed->data;
    }
    for (std::size_t i = 0; i < entries; ++i) {
        const entry& each = work.entries[i];
        std::erase_if(disk.entries, [&](const entry& old) {
            return old.position.index >= each.position.index;
        });
        disk.entries.push_back(each);
    }
}

void simulated_cluster::end_sync(node& target)
{
    target.sync_ends.reset();
    target.hard_pending = false;
    auto done = std::exchange(target.pending, {});
    for (auto& work : done) {
        persist(target, work, work.entries.size());
    }
    const raft::stored_state& disk = target.disk;
    target.core->persisted(disk.entries.empty() ? disk.snapshot.last
                                                : disk.entries.back().position,
                           done.back().truncations);
    for (auto& work : done) {
        for (const auto& each : work.messages_after_sync) {
            send(target, each);
        }
        if (work.installed) {
            target.applied = work.installed->info.last;
            target.snapshot_index = target.applied.index;
            const std::string& data = work.installed->data;
            target.digest = 0;
            std::from_chars(data.data(), data.data() + data.size(),
                            target.digest);
            const auto known = digests_.find(target.applied.index);
            if (known == digests_.end() || known->second != target.digest) {
                problem = "a snapshot differs from the applied state";
            }
        }
        for (const auto& each : work.committed) {
            apply(target, each);
        }
    }
    if (target.applied.index - target.snapshot_index >=
        settings_.snapshot_interval_entries) {
        const auto info = target.core->describe_snapshot(target.applied);
        target.disk.snapshot = info;
        target.disk_snapshot = fmt::format("{:020}", target.digest);
        std::erase_if(target.disk.entries, [&](const entry& each) {
            return each.position.index <= info.last.index;
        });
        target.core->compact(info);
        target.snapshot_index = info.last.index;
    }
    process(target);
}

void simulated_cluster::apply(node& target, const entry& committed)
{
    const std::uint64_t index = committed.position.index;
    if (index != target.applied.index + 1) {
        problem = fmt::format("{} applies {} after {}", target.id.value(),
                              index, target.applied.index);
    }
    target.applied = committed.position;
    target.digest = mix(target.digest, committed);
    const auto [known, added] = committed_.try_emplace(index, committed);
    if (!added && known->second != committed) {
        problem = fmt::format("entry {} was changed after its commit", index);
    }
    digests_.try_emplace(index, target.digest);
}

void simulated_cluster::send(node& from, const message& content)
{
    if (chance(settings_.drop)) {
        return;
    }
    message filled = content;
    if (auto* part = std::get_if<install_snapshot>(&filled.body)) {
        if (part->info.last != from.disk.snapshot.last ||
            part->offset > from.disk_snapshot.size()) {
            return;
        }
        part->data = from.disk_snapshot.substr(part->offset, chunk_bytes);
        part->done =
            part->offset + part->data.size() == from.disk_snapshot.size();
    }
    const int copies = chance(settings_.duplicate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const auto spread =
            static_cast<std::uint64_t>(settings_.max_delay.count());
        network_.emplace(
            now_ + duration(static_cast<duration::rep>(random() % spread)),
            packet{from.id, filled});
    }
}

void simulated_cluster::check_leader(const node& target)
{
    if (target.core->role() != raft_role::leader) {
        return;
    }
    const auto [known, added] =
        leaders_.try_emplace(target.core->term(), target.id);
    if (!added && known->second != target.id) {
        problem = fmt::format("two leaders in term {}", target.core->term());
    }
}

bool simulated_cluster::converged() const
{
    return std::all_of(nodes_.begin(), nodes_.end(), [this](const auto& each) {
        return !each->core || each->applied.index == committed();
    });
}

} // namespace bamboogate::consensus
