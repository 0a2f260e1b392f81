#include <bamboogate/consensus/raft_log.hpp>

#include <algorithm>

namespace bamboogate::consensus {

raft_log::raft_log(snapshot_info base, std::vector<entry> entries)
    : base_(base.last), snapshot_(base.last)
{
    configurations_.emplace_back(base.last.index, std::move(base.members));
    for (auto& each : entries) {
        if (each.position.index == last().index + 1) {
            append(std::move(each));
        }
    }
}

log_position raft_log::last() const
{
    return entries_.empty() ? base_ : entries_.back().position;
}

std::optional<std::uint64_t> raft_log::term_at(std::uint64_t index) const
{
    if (index == base_.index) {
        return base_.term;
    }
    if (index < base_.index || index > last().index) {
        return std::nullopt;
    }
    return at(index).position.term;
}

const entry& raft_log::at(std::uint64_t index) const
{
    return entries_[index - base_.index - 1];
}

std::vector<entry> raft_log::slice(std::uint64_t first,
                                   std::size_t max_bytes) const
{
    std::vector<entry> out;
    std::size_t bytes = 0;
    for (std::uint64_t i = first; i <= last().index; ++i) {
        bytes += at(i).data.size();
        if (!out.empty() && bytes > max_bytes) {
            break;
        }
        out.push_back(at(i));
    }
    return out;
}

void raft_log::append(entry added)
{
    if (added.kind == entry_kind::configuration) {
        if (auto decoded = decode_membership(added.data)) {
            configurations_.emplace_back(added.position.index,
                                         std::move(decoded).value());
        }
    }
    entries_.push_back(std::move(added));
}

void raft_log::truncate_from(std::uint64_t index)
{
    while (!entries_.empty() && entries_.back().position.index >= index) {
        entries_.pop_back();
    }
    while (configurations_.size() > 1 &&
           configurations_.back().first >= index) {
        configurations_.pop_back();
    }
}

void raft_log::compact(const snapshot_info& info, const retention& kept)
{
    if (info.last.index <= snapshot_.index) {
        return;
    }
    snapshot_ = info.last;
    std::size_t covered_bytes = 0;
    for (const auto& each : entries_) {
        covered_bytes +=
            each.position.index <= info.last.index ? each.data.size() : 0;
    }
    while (!entries_.empty() &&
           entries_.front().position.index <= info.last.index &&
           (entries_.front().position.index + kept.entries <= info.last.index ||
            covered_bytes > kept.bytes)) {
        covered_bytes -= entries_.front().data.size();
        base_ = entries_.front().position;
        entries_.pop_front();
    }
    while (configurations_.size() > 1 &&
           configurations_[1].first <= info.last.index) {
        configurations_.erase(configurations_.begin());
    }
}

void raft_log::reset(const snapshot_info& info)
{
    base_ = info.last;
    snapshot_ = info.last;
    entries_.clear();
    configurations_.clear();
    configurations_.emplace_back(info.last.index, info.members);
}

const membership& raft_log::members() const
{
    return configurations_.back().second;
}

std::uint64_t raft_log::members_index() const
{
    return configurations_.back().first;
}

const membership& raft_log::members_at(std::uint64_t index) const
{
    const auto after =
        std::find_if(configurations_.begin() + 1, configurations_.end(),
                     [index](const auto& each) { return each.first > index; });
    return std::prev(after)->second;
}

} // namespace bamboogate::consensus
