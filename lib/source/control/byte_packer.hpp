#ifndef BAMBOOGATE_SOURCE_CONTROL_BYTE_PACKER_HPP
#define BAMBOOGATE_SOURCE_CONTROL_BYTE_PACKER_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboogate::control {

/// Encodes little-endian numbers and length-prefixed strings. Used where CBOR
/// documents of many small entries would need many times the memory.
class byte_packer
{
public:
    std::string bytes;

    void number(std::uint64_t value)
    {
        for (int i = 0; i < 8; ++i) {
            bytes.push_back(static_cast<char>(value >> (8 * i)));
        }
    }
    void raw(std::string_view value) { bytes.append(value); }
    void text(std::string_view value)
    {
        number(value.size());
        raw(value);
    }
};

/// Decodes the output of `byte_packer`. After a read past the end all results
/// are empty and `failed` is true.
class byte_unpacker
{
public:
    explicit byte_unpacker(std::string_view bytes) : rest_(bytes) {}

    [[nodiscard]] bool failed() const noexcept { return failed_; }
    [[nodiscard]] bool at_end() const noexcept { return rest_.empty(); }

    std::string_view raw(std::uint64_t size)
    {
        if (failed_ || size > rest_.size()) {
            failed_ = true;
            return {};
        }
        const auto out = rest_.substr(0, size);
        rest_.remove_prefix(size);
        return out;
    }
    std::uint64_t number()
    {
        std::uint64_t out = 0;
        int shift = 0;
        for (const unsigned char byte : raw(8)) {
            out |= std::uint64_t{byte} << shift;
            shift += 8;
        }
        return out;
    }
    std::string_view text() { return raw(number()); }

private:
    std::string_view rest_;
    bool failed_ = false;
};

} // namespace bamboogate::control

#endif
