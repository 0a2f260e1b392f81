#ifndef BAMBOOGATE_CONSENSUS_LOG_RECORD_HPP
#define BAMBOOGATE_CONSENSUS_LOG_RECORD_HPP

#include <bamboogate/consensus/types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboogate::consensus {

enum class record_kind : std::uint8_t
{
    hard_state = 1,
    entry = 2, ///< replaces the entry with this index and all later ones
    reset = 3, ///< discards all entries; the log continues after a snapshot
};

/// A decoded record of a write-ahead log segment. The records made durable by
/// one sync form a batch. Batches are numbered, and a batch is written only
/// after the previous batch has been synced.
struct record_view
{
    record_kind kind = record_kind::entry;
    bool first_of_batch = false;
    std::uint64_t batch = 0;
    std::string_view payload;
    std::size_t size = 0; ///< including the header
};

/// @brief Appends an encoded record to a buffer.
/// @param seed checksum seed: the id of the data folder, so that records of
///     another folder fail verification
void encode_record(std::string& out, std::uint64_t seed, std::uint64_t batch,
                   bool first_of_batch, record_kind kind,
                   std::string_view payload);

/// @brief Reads the record at the start of the bytes.
/// @return nullopt if it is incomplete or its checksum does not match
[[nodiscard]] std::optional<record_view> read_record(std::string_view bytes,
                                                     std::uint64_t seed);

[[nodiscard]] std::string encode_entry(const entry& value);
[[nodiscard]] std::optional<entry> decode_entry(std::string_view payload);
[[nodiscard]] std::string encode_hard_state(const hard_state& value);
[[nodiscard]] std::optional<hard_state>
decode_hard_state(std::string_view payload);

// Little-endian integers. `take_*` read the start of the bytes, which must be
// long enough.
void put_u32(std::string& out, std::uint32_t value);
void put_u64(std::string& out, std::uint64_t value);
[[nodiscard]] std::uint32_t take_u32(std::string_view bytes);
[[nodiscard]] std::uint64_t take_u64(std::string_view bytes);

} // namespace bamboogate::consensus

#endif
