#ifndef BAMBOOGATE_NET_LOG_WRITER_HPP
#define BAMBOOGATE_NET_LOG_WRITER_HPP

#include <bamboogate/net/event_loop.hpp>

namespace bamboogate::net {

/// Writes the log of a process to standard output while the loop runs. Lines
/// are kept in a bounded buffer and left out, with a count, when the reader is
/// slow, so that a task never waits for it. Destruction writes what the reader
/// takes at once. One per process. Not thread safe; logging itself is.
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
