#include <bamboogate/gate/completion_scheduler.hpp>

namespace bamboogate::gate {

completion_scheduler::admitted completion_scheduler::submit(completion_work,
                                                            granted callback)
{
    const std::uint64_t ticket = next_ticket_++;
    loop_.post([callback = std::move(callback), ticket] {
        callback(completion_grant{ticket, 0});
    });
    return outcome::success();
}

} // namespace bamboogate::gate
