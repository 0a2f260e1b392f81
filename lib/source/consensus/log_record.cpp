#include <bamboogate/consensus/log_record.hpp>

#include <xxhash.h>

namespace bamboogate::consensus {

namespace {

// Header: magic (4), payload length (4), batch (8), kind (1), first of batch
// (1), zero (6), checksum of all the other bytes (8). Little endian.
constexpr std::uint32_t magic = 0x474c4242;
constexpr std::size_t checked_header_bytes = 24;
constexpr std::size_t header_bytes = checked_header_bytes + 8;

std::uint64_t checksum(std::string_view header, std::string_view payload,
                       std::uint64_t seed)
{
    const std::uint64_t of_header = XXH64(header.data(), header.size(), seed);
    return XXH64(payload.data(), payload.size(), of_header);
}

template <typename Number>
void put(std::string& out, Number value)
{
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
    }
}

template <typename Number>
Number take(std::string_view bytes)
{
    Number value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        value |= static_cast<Number>(static_cast<unsigned char>(bytes[i]))
                 << (8 * i);
    }
    return value;
}

} // namespace

void put_u32(std::string& out, std::uint32_t value)
{
    put(out, value);
}

void put_u64(std::string& out, std::uint64_t value)
{
    put(out, value);
}

std::uint32_t take_u32(std::string_view bytes)
{
    return take<std::uint32_t>(bytes);
}

std::uint64_t take_u64(std::string_view bytes)
{
    return take<std::uint64_t>(bytes);
}

void encode_record(std::string& out, std::uint64_t seed, std::uint64_t batch,
                   bool first_of_batch, record_kind kind,
                   std::string_view payload)
{
    std::string header;
    header.reserve(header_bytes);
    put_u32(header, magic);
    put_u32(header, static_cast<std::uint32_t>(payload.size()));
    put_u64(header, batch);
    header.push_back(static_cast<char>(kind));
    header.push_back(first_of_batch ? 1 : 0);
    header.append(6, '\0');
    const std::uint64_t sum = checksum(header, payload, seed);
    out += header;
    put_u64(out, sum);
    out += payload;
}

std::optional<record_view> read_record(std::string_view bytes,
                                       std::uint64_t seed)
{
    if (bytes.size() < header_bytes || take_u32(bytes) != magic) {
        return std::nullopt;
    }
    const std::size_t length = take_u32(bytes.substr(4));
    if (bytes.size() - header_bytes < length) {
        return std::nullopt;
    }
    const std::string_view header = bytes.substr(0, checked_header_bytes);
    const std::string_view payload = bytes.substr(header_bytes, length);
    if (take_u64(bytes.substr(checked_header_bytes)) !=
        checksum(header, payload, seed)) {
        return std::nullopt;
    }
    return record_view{.kind = static_cast<record_kind>(header[16]),
                       .first_of_batch = header[17] != 0,
                       .batch = take_u64(bytes.substr(8)),
                       .payload = payload,
                       .size = header_bytes + length};
}

std::string encode_entry(const entry& value)
{
    std::string out;
    out.reserve(17 + value.data.size());
    put_u64(out, value.position.term);
    put_u64(out, value.position.index);
    out.push_back(static_cast<char>(value.kind));
    out += value.data;
    return out;
}

std::optional<entry> decode_entry(std::string_view payload)
{
    if (payload.size() < 17 ||
        static_cast<unsigned char>(payload[16]) >
            static_cast<unsigned char>(entry_kind::configuration)) {
        return std::nullopt;
    }
    return entry{{take_u64(payload), take_u64(payload.substr(8))},
                 static_cast<entry_kind>(payload[16]),
                 std::string(payload.substr(17))};
}

std::string encode_hard_state(const hard_state& value)
{
    std::string out;
    put_u64(out, value.term);
    out += value.voted_for.value();
    return out;
}

std::optional<hard_state> decode_hard_state(std::string_view payload)
{
    if (payload.size() < 8) {
        return std::nullopt;
    }
    return hard_state{take_u64(payload),
                      node_id(std::string(payload.substr(8)))};
}

} // namespace bamboogate::consensus
