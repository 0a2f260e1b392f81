#ifndef BAMBOOGATE_NET_REQUEST_MEMORY_HPP
#define BAMBOOGATE_NET_REQUEST_MEMORY_HPP

#include <bamboogate/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>
#include <unordered_map>
#include <vector>

namespace bamboogate::net {

/// Decides whose requests a process may hold in memory, without I/O. The load
/// it answers: many clients that send bodies of legal size at once, whole or in
/// pieces, most of whom stop before the end and stay connected.
///
/// A request asks for its memory before its body is read. One without room
/// waits for a short time, because the requests in progress end, and is refused
/// after that. While requests wait, the clients that have sent nothing for
/// longest lose their place. Small requests have a reserve that large ones
/// cannot take. A large request is admitted whatever its size while there is no
/// other. Not thread safe.
class request_memory
{
public:
    using client_id = std::uint64_t;

    struct options
    {
        /// For the requests of all clients together.
        std::size_t total_bytes = std::numeric_limits<std::size_t>::max();
        /// Requests up to this size are small.
        std::size_t small_bytes = 64u << 10;
        /// 1 / this of the total is kept for small requests.
        std::size_t reserve_divisor = 8;
        /// Requests that may wait for room at the same time.
        std::size_t max_waiting = 64;
        /// Leaves most of a caller's deadline for a retry elsewhere.
        duration max_wait = std::chrono::milliseconds(500);
        /// A client that sends nothing for this long is slow.
        duration stall_time = std::chrono::milliseconds(250);
        /// A client that sends less than this on average is slow, too, once it
        /// has been sending for `rate_time`.
        std::size_t min_bytes_per_second = 16u << 10;
        duration rate_time = std::chrono::seconds(1);
    };

    enum class admission : std::uint8_t
    {
        admitted, ///< the request may be read
        waiting,  ///< a later `review` decides
        refused,  ///< as not run; nothing is held for it
    };

    /// What has been decided about clients that wait or send.
    struct decisions
    {
        std::vector<client_id> admitted; ///< their memory is held now
        std::vector<client_id> refused;  ///< have waited too long
        /// Slow senders whose place others need. Their memory is held until
        /// `release`.
        std::vector<client_id> displaced;
    };

    explicit request_memory(options settings) : settings_(settings) {}

    /// @brief Asks for the memory of a request that is being read.
    /// @param bytes of the whole request as far as known, not only of the part
    ///     that was added; less than before has no effect
    /// @pre the client does not wait
    [[nodiscard]] admission request(client_id client, std::size_t bytes,
                                    time_point now);

    /// @brief Adds memory for input that follows a request, without waiting.
    /// @return false if there is no room; nothing is added then
    [[nodiscard]] bool try_add(client_id client, std::size_t bytes);

    /// @brief Bytes of the request have arrived.
    void note_progress(client_id client, std::size_t bytes, time_point now);

    /// @brief The request was read completely, so that its memory cannot be
    ///     taken back any more.
    void note_complete(client_id client);

    /// @brief Releases all memory of a client; has no effect without any.
    void release(client_id client);

    /// @brief Decides about the clients that wait. Called after `release` and
    ///     periodically while `has_waiting`.
    [[nodiscard]] decisions review(time_point now);

    [[nodiscard]] bool has_waiting() const { return !waiting_.empty(); }
    /// @brief Bytes held by all clients.
    [[nodiscard]] std::size_t used_bytes() const { return used_; }

private:
    struct holder
    {
        std::size_t held = 0;
        std::size_t wanted = 0; ///< in total, while waiting
        std::size_t received = 0;
        time_point waiting_since;
        time_point admitted_at;
        time_point last_progress;
        bool large = false;
        bool complete = false;
    };

    [[nodiscard]] bool is_large(std::size_t bytes) const
    {
        return bytes > settings_.small_bytes;
    }
    [[nodiscard]] bool fits(const holder& client, std::size_t bytes,
                            std::size_t displaced) const;
    void hold(holder& client, std::size_t bytes);
    [[nodiscard]] bool is_slow(const holder& client, time_point now) const;
    void refuse_expired(time_point now, decisions& out);
    void admit_waiting(time_point now, decisions& out);
    void displace_slow(time_point now, decisions& out);

    options settings_;
    std::unordered_map<client_id, holder> holders_;
    std::list<client_id> waiting_; ///< in order of arrival
    std::size_t wanted_ = 0;       ///< by those that wait
    std::size_t used_ = 0;
    std::size_t used_by_large_ = 0;
};

} // namespace bamboogate::net

#endif
