#include <bamboogate/relay/retry_delay.hpp>

#include <xxhash.h>

namespace bamboogate::relay {

duration spread_retry_delay(duration delay, const request_id& id)
{
    constexpr std::uint64_t steps = 1024;
    const std::string& text = id.value();
    const std::uint64_t step = XXH3_64bits(text.data(), text.size()) % steps;
    return delay + delay / 4 * static_cast<std::int64_t>(step) /
                       static_cast<std::int64_t>(steps);
}

} // namespace bamboogate::relay
