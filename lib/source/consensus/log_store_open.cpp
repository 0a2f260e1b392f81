#include <bamboogate/consensus/log_record.hpp>
#include <bamboogate/consensus/log_store.hpp>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace bamboogate::consensus {

namespace {

constexpr std::string_view folder_id_name = "incarnation";
constexpr std::string_view segment_prefix = "log-";
constexpr std::string_view segment_suffix = ".wal";
constexpr std::string_view snapshot_prefix = "snapshot-";
constexpr std::string_view temporary_suffix = ".tmp";
// Checksum (8 bytes) and length of the encoded snapshot_info (4 bytes).
constexpr std::size_t snapshot_header_bytes = 12;

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, problem] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// Content of the id file: the id and its checksum.
std::string folder_id_text(incarnation id)
{
    return fmt::format("{} {:016x}\n", id.value,
                       XXH64(&id.value, sizeof(id.value), 0));
}

auto corrupt(const std::string& detail)
{
    return fail(errc::storage_corrupt, detail);
}

} // namespace

result<std::unique_ptr<log_store>> log_store::open(options settings)
{
    std::unique_ptr<log_store> store(new log_store(std::move(settings)));
    file_system& files = *store->settings_.files;
    const auto& folder = store->settings_.folder;
    BOOST_OUTCOME_TRYV(files.create_folder(folder));
    BOOST_OUTCOME_TRY(lock, files.lock(folder / "lock"));
    store->lock_ = std::move(lock);
    // The previous process may have ended between a rename and the sync that
    // makes it durable; what the new name replaces is removed below.
    BOOST_OUTCOME_TRYV(files.sync_folder(folder));
    BOOST_OUTCOME_TRY(names, files.list(folder));
    for (const auto& name : names) {
        if (name.ends_with(temporary_suffix)) {
            BOOST_OUTCOME_TRYV(files.remove(folder / name));
        }
    }
    std::erase_if(names, [](const std::string& name) {
        return name.ends_with(temporary_suffix);
    });
    BOOST_OUTCOME_TRYV(store->load_folder_id(names));
    BOOST_OUTCOME_TRYV(store->load_snapshot(names));
    BOOST_OUTCOME_TRYV(store->load_segments(names));
    return store;
}

result<void> log_store::load_folder_id(const std::vector<std::string>& names)
{
    const std::string name(folder_id_name);
    if (std::find(names.begin(), names.end(), name) == names.end()) {
        const bool used =
            std::any_of(names.begin(), names.end(), [](const auto& each) {
                return each.starts_with(segment_prefix) ||
                       each.starts_with(snapshot_prefix);
            });
        if (used) {
            return corrupt("the folder's incarnation id is missing");
        }
        folder_ = settings_.new_folder_id;
        return write_atomically(name, folder_id_text(folder_));
    }
    BOOST_OUTCOME_TRY(text, settings_.files->read(path_of(name)));
    const auto value = parse_number(text.substr(0, text.find(' ')));
    if (!value || *value == 0 || text != folder_id_text({*value})) {
        return corrupt("the folder's incarnation id is unreadable");
    }
    folder_ = incarnation{*value};
    return outcome::success();
}

result<void> log_store::load_snapshot(const std::vector<std::string>& names)
{
    std::vector<std::string> found;
    for (const auto& name : names) {
        if (name.starts_with(snapshot_prefix)) {
            found.push_back(name);
        }
    }
    if (found.empty()) {
        return outcome::success();
    }
    // File names sort by index, because the numbers have a fixed width.
    snapshot_name_ = found.back();
    BOOST_OUTCOME_TRY(bytes, settings_.files->read(path_of(snapshot_name_)));
    if (bytes.size() < snapshot_header_bytes ||
        take_u64(bytes) !=
            XXH64(bytes.data() + 8, bytes.size() - 8, folder_.value)) {
        return corrupt(snapshot_name_ + ": wrong checksum");
    }
    const std::string_view view = bytes;
    const std::size_t info_bytes = take_u32(view.substr(8));
    if (info_bytes > view.size() - snapshot_header_bytes) {
        return corrupt(snapshot_name_ + ": wrong length");
    }
    auto document = decode_cbor(view.substr(snapshot_header_bytes, info_bytes));
    if (!document) {
        return corrupt(snapshot_name_ + ": " + document.error().detail);
    }
    auto info = from_document<snapshot_info>(document.value());
    if (!info) {
        return corrupt(snapshot_name_ + ": " + info.error().detail);
    }
    contents_.snapshot = std::move(info).value();
    snapshot_ = contents_.snapshot.last;
    snapshot_offset_ = snapshot_header_bytes + info_bytes;
    snapshot_bytes_ = view.size() - snapshot_offset_;
    found.pop_back();
    for (const auto& older : found) {
        BOOST_OUTCOME_TRYV(settings_.files->remove(path_of(older)));
    }
    return outcome::success();
}

result<void> log_store::load_segments(const std::vector<std::string>& names)
{
    for (const auto& name : names) {
        if (!name.starts_with(segment_prefix)) {
            continue;
        }
        const auto digits = std::string_view(name).substr(
            segment_prefix.size(),
            name.size() - std::min(name.size(), segment_prefix.size() +
                                                    segment_suffix.size()));
        const auto sequence = parse_number(digits);
        if (!sequence || (!segments_.empty() &&
                          *sequence != segments_.back().sequence + 1)) {
            return corrupt(name + ": the preceding segment is missing");
        }
        segments_.push_back({*sequence, 0});
    }
    batch_ = 0;
    std::string newest;
    for (std::size_t i = 0; i < segments_.size(); ++i) {
        const auto path = path_of(segments_[i]);
        BOOST_OUTCOME_TRY(bytes, settings_.files->read(path));
        BOOST_OUTCOME_TRY(length, load_segment(bytes, i + 1 == segments_.size(),
                                               path.filename().string()));
        contents_.torn_bytes = bytes.size() - length;
        if (length == 0) {
            return corrupt(path.filename().string() + " is empty");
        }
        segments_[i].max_index = buffered_max_index_;
        buffered_max_index_ = 0;
        bytes.resize(length);
        newest = std::move(bytes);
    }
    ++batch_;
    hard_ = contents_.hard;
    if (segments_.empty()) {
        if (snapshot_.index != 0) {
            return corrupt(
                "a snapshot exists, but all log segments are missing");
        }
        return start_segment({});
    }
    BOOST_OUTCOME_TRYV(check_entries());
    const auto path = path_of(segments_.back());
    if (settings_.rewrite_newest_segment) {
        BOOST_OUTCOME_TRYV(write_atomically(path.filename().string(), newest));
    }
    BOOST_OUTCOME_TRY(opened, settings_.files->open(path, newest.size()));
    file_ = std::move(opened);
    file_bytes_ = newest.size();
    BOOST_OUTCOME_TRYV(file_->sync());
    return sync();
}

result<std::size_t> log_store::load_segment(std::string_view bytes, bool newest,
                                            const std::string& name)
{
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const auto record = read_record(bytes.substr(offset), folder_.value);
        if (!record) {
            if (!newest || offset == 0 ||
                synced_record_follows(bytes.substr(offset + 1))) {
                return corrupt(fmt::format("{}: record at byte {} is damaged",
                                           name, offset));
            }
            return offset;
        }
        const bool in_order = record->first_of_batch ? record->batch > batch_
                                                     : record->batch == batch_;
        if (!in_order) {
            return corrupt(
                fmt::format("{}: batch {} at byte {} is out of order", name,
                            record->batch, offset));
        }
        batch_ = record->batch;
        BOOST_OUTCOME_TRYV(load_record(
            record->payload, static_cast<std::uint8_t>(record->kind)));
        offset += record->size;
    }
    return offset;
}

bool log_store::synced_record_follows(std::string_view bytes) const
{
    // The damaged record belongs to the last valid batch or to the next one. A
    // later record that starts a batch, or belongs to a batch after both, was
    // written only after the damaged record had been synced; in that case the
    // damage is not a torn write.
    for (; !bytes.empty(); bytes.remove_prefix(1)) {
        const auto record = read_record(bytes, folder_.value);
        if (record && (record->first_of_batch || record->batch > batch_ + 1)) {
            return true;
        }
    }
    return false;
}

result<void> log_store::load_record(std::string_view payload, std::uint8_t kind)
{
    auto& entries = contents_.entries;
    switch (static_cast<record_kind>(kind)) {
    case record_kind::hard_state: {
        auto decoded = decode_hard_state(payload);
        if (!decoded) {
            return corrupt("unreadable hard state");
        }
        contents_.hard = std::move(*decoded);
        return outcome::success();
    }
    case record_kind::entry: {
        auto decoded = decode_entry(payload);
        if (!decoded) {
            return corrupt("unreadable entry");
        }
        const std::uint64_t index = decoded->position.index;
        if (!entries.empty() && index > entries.back().position.index + 1) {
            return corrupt(fmt::format("entries before {} are missing", index));
        }
        while (!entries.empty() && entries.back().position.index >= index) {
            entries.pop_back();
        }
        buffered_max_index_ = std::max(buffered_max_index_, index);
        entries.push_back(std::move(*decoded));
        return outcome::success();
    }
    case record_kind::reset:
        entries.clear();
        return outcome::success();
    }
    return corrupt("unknown record kind");
}

result<void> log_store::check_entries()
{
    auto& entries = contents_.entries;
    const bool ends_early =
        entries.empty() || entries.back().position.index < snapshot_.index;
    const auto same =
        std::find_if(entries.begin(), entries.end(), [this](const entry& each) {
            return each.position.index == snapshot_.index;
        });
    const bool conflicts =
        same != entries.end() && same->position.term != snapshot_.term;
    if (snapshot_.index != 0 && (ends_early || conflicts)) {
        // The process ended after storing a snapshot from the leader and before
        // discarding the log that it replaces.
        entries.clear();
        write_reset(snapshot_);
        return outcome::success();
    }
    std::erase_if(entries, [this](const entry& each) {
        return each.position.index <= snapshot_.index;
    });
    if (!entries.empty() &&
        entries.front().position.index != snapshot_.index + 1) {
        return corrupt(fmt::format("entries {} to {} are missing",
                                   snapshot_.index + 1,
                                   entries.front().position.index - 1));
    }
    return outcome::success();
}

} // namespace bamboogate::consensus
