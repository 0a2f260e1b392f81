#ifndef BAMBOOGATE_RELAY_STREAM_ORIGINS_HPP
#define BAMBOOGATE_RELAY_STREAM_ORIGINS_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboogate::relay {

/// Where the first event of a stream came from. Only engines of this version
/// may continue the stream.
struct stream_origin
{
    service_id service;
    software_version version;

    auto operator<=>(const stream_origin&) const = default;
};

/// @brief Identifies a stream by the attempt that brought, or will bring, its
///     first event. The same in every process and build. Includes the account,
///     so that a caller cannot name the stream of another account.
[[nodiscard]] std::uint64_t stream_key(const client_account_id& account,
                                       const request_id& attempt);

/// What is recorded of a stream.
struct origin_record
{
    stream_origin origin;
    /// The stream has begun, so that its origin cannot change any more. Until
    /// then, it may be placed again at another version.
    bool begun = false;

    auto operator<=>(const origin_record&) const = default;
};

/// Streams with equal records, for a message.
struct origin_batch
{
    stream_origin origin;
    std::vector<std::uint64_t> keys; ///< see `stream_key`
    bool begun = false;              ///< see `origin_record`
};

/// Remembers the origins of recent streams, so that a caller can resume a
/// stream at any gate. An entry is kept for one to two times `retention` after
/// it was last noted, and takes about 40 bytes. Performs no I/O. Not thread
/// safe.
class stream_origins
{
public:
    struct options
    {
        /// Longer than any stream and the pauses between a caller's attempts.
        duration retention = std::chrono::seconds(45);
        /// Bounds the memory; the oldest entries are dropped first. At 3,700
        /// streams/s, two retention times have 333,000 streams.
        std::size_t max_entries = 400'000;
    };

    stream_origins() : stream_origins(options{}) {}
    explicit stream_origins(options settings) : settings_(settings) {}

    /// @brief Records where a stream is placed. Replaces an earlier origin
    ///     unless the stream has begun there. Renews the retention.
    void note(std::uint64_t key, const stream_origin& origin, time_point now);

    /// @brief Records that a stream has begun at an origin.
    void note_begun(std::uint64_t key, const stream_origin& origin,
                    time_point now);

    /// @return nothing for streams that are unknown or were noted too long ago
    [[nodiscard]] std::optional<origin_record> find(std::uint64_t key) const;

    /// @brief The entries that were noted since the last call.
    [[nodiscard]] std::vector<origin_batch> take_unsent();

    /// @brief All entries, for a process that connects.
    [[nodiscard]] std::vector<origin_batch> all() const;

    /// Which origin is kept if another process knows a different one and the
    /// stream has not begun.
    enum class conflict : std::uint8_t
    {
        replace, ///< that of the other process is newer
        keep,    ///< that of the other process may be outdated
    };

    /// @brief Records entries of another process, which are not returned by
    ///     `take_unsent`.
    void merge(const origin_batch& batch, conflict rule, time_point now);

    [[nodiscard]] std::size_t size() const
    {
        return recent_.size() + older_.size();
    }

private:
    using origin_number = std::uint32_t;
    using entries = std::unordered_map<std::uint64_t, origin_number>;

    void store(std::uint64_t key, const origin_record& record, time_point now);
    /// Stores a record that this process is the first to know.
    void add(std::uint64_t key, const origin_record& record, time_point now);
    [[nodiscard]] origin_number number_of(const origin_record& record);

    options settings_;
    /// Upstreams announce their versions themselves, but rarely a new one.
    std::vector<origin_record> records_;
    std::map<origin_record, origin_number> numbers_;
    entries recent_;
    entries older_; ///< noted before the last rotation
    time_point rotated_at_{};
    entries unsent_;
};

} // namespace bamboogate::relay

#endif
