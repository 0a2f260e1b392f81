#ifndef BAMBOOGATE_NET_LOG_WRITER_HPP
#define BAMBOOGATE_NET_LOG_WRITER_HPP

#include <bamboogate/net/event_loop.hpp>

namespace bamboogate::net {

/// Writes the log of a process to standard output from the event loop. Lines
/// are kept in a bounded buffer; when the reader is slow, further lines are
/// dropped and counted, so that logging never blocks. Destruction writes as
/// much as standard output accepts without blocking. One per process. Not
/// thread safe; logging itself is.
class log_writer
{
public:
    /// @param loop must outlive the writer
    explicit log_writer(event_loop& loop);
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

private:
    timer flush_timer_;
};

} // namespace bamboogate::net

#endif
