#include <bamboogate/consensus/log_record.hpp>
#include <bamboogate/consensus/log_store.hpp>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace bamboogate::consensus {

namespace {

// Header of a snapshot file: checksum of the rest (8 bytes), length of the
// encoded snapshot_info (4 bytes).
constexpr std::size_t snapshot_header_bytes = 12;

} // namespace

log_store::log_store(options settings) : settings_(std::move(settings))
{
    if (!settings_.files) {
        settings_.files = system_files();
    }
}

std::filesystem::path log_store::path_of(const std::string& name) const
{
    return settings_.folder / name;
}

std::filesystem::path log_store::temporary_path(const std::string& name) const
{
    return path_of(name + ".tmp");
}

std::filesystem::path log_store::path_of(const segment& target) const
{
    return path_of(fmt::format("log-{:016}.wal", target.sequence));
}

result<void> log_store::record_failure(result<void> outcome)
{
    if (!outcome && !failure_) {
        failure_ = outcome.error();
    }
    return outcome;
}

void log_store::add_record(std::uint8_t kind, std::string_view payload)
{
    encode_record(buffer_, folder_.value, batch_, buffer_.empty(),
                  static_cast<record_kind>(kind), payload);
}

void log_store::write(const hard_state& value)
{
    hard_ = value;
    add_record(static_cast<std::uint8_t>(record_kind::hard_state),
               encode_hard_state(value));
}

void log_store::write(const entry& value)
{
    buffered_max_index_ = std::max(buffered_max_index_, value.position.index);
    add_record(static_cast<std::uint8_t>(record_kind::entry),
               encode_entry(value));
}

void log_store::write_reset(const log_position& last)
{
    std::string position;
    put_u64(position, last.term);
    put_u64(position, last.index);
    add_record(static_cast<std::uint8_t>(record_kind::reset), position);
}

result<void> log_store::sync()
{
    if (failure_) {
        return *failure_;
    }
    if (buffer_.empty()) {
        return outcome::success();
    }
    BOOST_OUTCOME_TRYV(record_failure(file_->append(buffer_)));
    BOOST_OUTCOME_TRYV(record_failure(file_->sync()));
    file_bytes_ += buffer_.size();
    segment& current = segments_.back();
    current.max_index = std::max(current.max_index, buffered_max_index_);
    buffered_max_index_ = 0;
    buffer_.clear();
    ++batch_;
    if (file_bytes_ < settings_.segment_bytes) {
        return outcome::success();
    }
    return record_failure(start_segment({}));
}

result<void> log_store::start_segment(std::optional<log_position> reset)
{
    segments_.push_back(
        {segments_.empty() ? 1 : segments_.back().sequence + 1, 0});
    const auto path = path_of(segments_.back());
    auto temporary = path;
    temporary += ".tmp";
    BOOST_OUTCOME_TRY(opened, settings_.files->open(temporary, 0));
    file_ = std::move(opened);
    // Earlier segments may be removed, so each segment starts with the hard
    // state.
    write(hard_);
    if (reset) {
        write_reset(*reset);
    }
    BOOST_OUTCOME_TRYV(file_->append(buffer_));
    BOOST_OUTCOME_TRYV(file_->sync());
    // A segment gets its final name only after its first batch is on disk, so a
    // segment without a valid record is damaged rather than new.
    BOOST_OUTCOME_TRYV(settings_.files->rename(temporary, path));
    BOOST_OUTCOME_TRYV(settings_.files->sync_folder(settings_.folder));
    file_bytes_ = buffer_.size();
    buffer_.clear();
    ++batch_;
    return outcome::success();
}

result<void> log_store::write_atomically(const std::string& name,
                                         std::string_view bytes)
{
    BOOST_OUTCOME_TRYV(write_temporary(name, bytes));
    return publish(name);
}

result<void> log_store::write_temporary(const std::string& name,
                                        std::string_view bytes)
{
    BOOST_OUTCOME_TRY(file, settings_.files->open(temporary_path(name), 0));
    BOOST_OUTCOME_TRYV(file->append(bytes));
    return file->sync();
}

result<void> log_store::publish(const std::string& name)
{
    BOOST_OUTCOME_TRYV(
        settings_.files->rename(temporary_path(name), path_of(name)));
    return settings_.files->sync_folder(settings_.folder);
}

result<void> log_store::remove_segments(bool all)
{
    // Segments are removed oldest first, so that replay never encounters a gap.
    // Without a sync after each removal, a power loss could undo an earlier one
    // only.
    while (segments_.size() > 1 &&
           (all || segments_.front().max_index <= snapshot_.index)) {
        BOOST_OUTCOME_TRYV(settings_.files->remove(path_of(segments_.front())));
        BOOST_OUTCOME_TRYV(settings_.files->sync_folder(settings_.folder));
        segments_.erase(segments_.begin());
    }
    return outcome::success();
}

result<void> log_store::save_snapshot(const snapshot& value, bool replaces_log)
{
    if (failure_) {
        return *failure_;
    }
    const std::string info = encode_cbor(value.info);
    std::string bytes;
    bytes.reserve(snapshot_header_bytes + info.size() + value.data.size());
    put_u64(bytes, 0);
    put_u32(bytes, static_cast<std::uint32_t>(info.size()));
    bytes += info;
    bytes += value.data;
    std::string sum;
    put_u64(sum, XXH64(bytes.data() + sum.size() + 8, bytes.size() - 8,
                       folder_.value));
    bytes.replace(0, 8, sum);

    const std::string name = fmt::format(
        "snapshot-{:020}-{:020}", value.info.last.index, value.info.last.term);
    if (auto written = write_temporary(name, bytes); !written) {
        if (replaces_log) {
            return record_failure(written);
        }
        // Frees the space for the log; a file that stays is removed at opening.
        static_cast<void>(settings_.files->remove(temporary_path(name)));
        return written;
    }
    BOOST_OUTCOME_TRYV(record_failure(publish(name)));
    const std::string replaced = std::exchange(snapshot_name_, name);
    snapshot_ = value.info.last;
    snapshot_offset_ = snapshot_header_bytes + info.size();
    snapshot_bytes_ = value.data.size();
    BOOST_OUTCOME_TRYV(record_failure(
        start_segment(replaces_log ? std::optional(snapshot_) : std::nullopt)));
    if (!replaced.empty() && replaced != name) {
        BOOST_OUTCOME_TRYV(
            record_failure(settings_.files->remove(path_of(replaced))));
    }
    return record_failure(remove_segments(replaces_log));
}

result<std::string> log_store::read_snapshot() const
{
    if (snapshot_name_.empty()) {
        return fail(errc::not_found, "no snapshot is stored");
    }
    return settings_.files->read_range(path_of(snapshot_name_),
                                       snapshot_offset_, snapshot_bytes_);
}

result<log_store::chunk> log_store::read_snapshot(const log_position& last,
                                                  std::uint64_t offset,
                                                  std::size_t length) const
{
    if (snapshot_name_.empty() || last != snapshot_ ||
        offset > snapshot_bytes_) {
        return fail(errc::not_found, "another snapshot is stored");
    }
    const auto wanted =
        std::min<std::uint64_t>(length, snapshot_bytes_ - offset);
    BOOST_OUTCOME_TRY(
        data, settings_.files->read_range(path_of(snapshot_name_),
                                          snapshot_offset_ + offset, wanted));
    if (data.size() != wanted) {
        return fail(errc::storage_corrupt, snapshot_name_ + " is too short");
    }
    return chunk{std::move(data), offset + wanted == snapshot_bytes_};
}

} // namespace bamboogate::consensus
