#include <bamboogate/net/log_writer.hpp>
#include <bamboogate/observability/logger.hpp>

#include <chrono>

namespace bamboogate::net {

namespace {

/// Holds the lines of a burst between two flushes.
constexpr std::size_t buffer_bytes = 256u << 10;
constexpr duration flush_interval = std::chrono::milliseconds(50);

} // namespace

log_writer::log_writer(event_loop& loop)
    : flush_timer_(loop, [] { observability::flush_log(); })
{
    observability::buffer_log(buffer_bytes);
    flush_timer_.start_periodic(flush_interval);
}

log_writer::~log_writer()
{
    observability::flush_log();
}

} // namespace bamboogate::net
