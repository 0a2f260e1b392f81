#ifndef BAMBOOGATE_CONSENSUS_LOG_STORE_HPP
#define BAMBOOGATE_CONSENSUS_LOG_STORE_HPP

#include <bamboogate/consensus/file_system.hpp>
#include <bamboogate/consensus/types.hpp>
#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/result.hpp>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboogate::consensus {

/// The write-ahead log, hard state and snapshot of one replica in a folder:
///
///     lock                     held while a process uses the folder
///     incarnation              id of the data folder
///     log-<sequence>.wal       segments of checksummed records
///     snapshot-<index>-<term>  the newest snapshot
///
/// Writes are buffered until `sync`, which makes them durable as one batch. The
/// first failure is permanent: all later calls return it. A snapshot of this
/// replica's own state that could not be written is no such failure, because
/// the log still has everything. Not thread safe.
class log_store
{
public:
    struct options
    {
        std::filesystem::path folder;
        /// Null: file system of the operating system.
        std::shared_ptr<file_system> files;
        /// Id assigned to an empty folder. Must be larger than all earlier
        /// folder ids of this replica.
        incarnation new_folder_id;
        /// A new segment is started when the current one reaches this size.
        std::uint64_t segment_bytes = 8u << 20;
        /// Writes the newest segment to the disk again. Set it for a folder
        /// whose last write or sync failed: the page cache may then return data
        /// that is not on the disk.
        bool rewrite_newest_segment = false;
    };

    /// Contents of the folder at opening.
    struct contents
    {
        hard_state hard;
        snapshot_info snapshot; ///< index 0: none
        std::vector<entry> entries;
        std::uint64_t torn_bytes = 0; ///< truncated from the end of the log
    };

    /// A chunk of the stored snapshot's data.
    struct chunk
    {
        std::string data;
        bool last = false;
    };

    /// @brief Opens and reads a folder; creates it if it does not exist. An
    ///     incomplete last batch is truncated, because it was never
    ///     acknowledged.
    /// @return `storage_corrupt` if synced data fails verification,
    ///     `storage_failed` (also if another process uses the folder) or
    ///     `storage_full`
    [[nodiscard]] static result<std::unique_ptr<log_store>>
    open(options settings);

    /// @brief Moves out the contents read at opening. @pre called once
    [[nodiscard]] contents take_contents() { return std::move(contents_); }

    [[nodiscard]] incarnation folder_id() const noexcept { return folder_; }

    /// @brief Adds a record to the next batch. An entry replaces the one with
    ///     the same index and all later ones.
    void write(const hard_state& value);
    void write(const entry& value);

    /// @brief The failure that ended this store.
    [[nodiscard]] const std::optional<error>& failure() const noexcept
    {
        return failure_;
    }

    [[nodiscard]] bool dirty() const noexcept { return !buffer_.empty(); }

    /// @brief Makes all buffered records durable.
    /// @return `storage_full` or `storage_failed`; a failed sync is never
    ///     retried
    result<void> sync();

    /// @brief Makes a snapshot durable, then removes the previous snapshot and
    ///     the segments that it covers.
    /// @param replaces_log true for a snapshot installed from the leader: all
    ///     log entries are discarded
    /// @return `storage_full` or `storage_failed`; the store stays usable if
    ///     `failure` is empty then
    /// @pre not dirty
    result<void> save_snapshot(const snapshot& value, bool replaces_log);

    /// @brief Data of the stored snapshot.
    /// @return `not_found` if none is stored
    [[nodiscard]] result<std::string> read_snapshot() const;

    /// @brief Reads a chunk of the stored snapshot's data.
    /// @return `not_found` if a different snapshot is stored
    [[nodiscard]] result<chunk> read_snapshot(const log_position& last,
                                              std::uint64_t offset,
                                              std::size_t length) const;

private:
    struct segment
    {
        std::uint64_t sequence = 0;
        std::uint64_t max_index = 0; ///< 0: no entry
    };

    explicit log_store(options settings);

    result<void> load_folder_id(const std::vector<std::string>& names);
    result<void> load_snapshot(const std::vector<std::string>& names);
    result<void> load_segments(const std::vector<std::string>& names);
    result<std::size_t> load_segment(std::string_view bytes, bool newest,
                                     const std::string& name);
    result<void> load_record(std::string_view payload, std::uint8_t kind);
    result<void> check_entries();
    [[nodiscard]] bool synced_record_follows(std::string_view bytes) const;
    result<void> write_atomically(const std::string& name,
                                  std::string_view bytes);
    /// Writes and syncs the temporary file that `publish` gives its name.
    result<void> write_temporary(const std::string& name,
                                 std::string_view bytes);
    result<void> publish(const std::string& name);
    result<void> start_segment(std::optional<log_position> reset);
    void write_reset(const log_position& last);
    result<void> remove_segments(bool all);
    void add_record(std::uint8_t kind, std::string_view payload);
    result<void> record_failure(result<void> outcome);
    [[nodiscard]] std::filesystem::path path_of(const std::string& name) const;
    [[nodiscard]] std::filesystem::path
    temporary_path(const std::string& name) const;
    [[nodiscard]] std::filesystem::path path_of(const segment& target) const;

    options settings_;
    std::unique_ptr<folder_lock> lock_;
    incarnation folder_;
    contents contents_;
    hard_state hard_;
    std::string buffer_;
    std::uint64_t buffered_max_index_ = 0;
    std::uint64_t batch_ = 1; ///< number of the next batch
    std::vector<segment> segments_;
    std::unique_ptr<append_file> file_;
    std::uint64_t file_bytes_ = 0;
    log_position snapshot_;
    std::string snapshot_name_;
    std::uint64_t snapshot_offset_ = 0; ///< offset of the data in the file
    std::uint64_t snapshot_bytes_ = 0;
    std::optional<error> failure_;
};

} // namespace bamboogate::consensus

#endif
