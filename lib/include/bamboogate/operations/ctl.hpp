#ifndef BAMBOOGATE_OPERATIONS_CTL_HPP
#define BAMBOOGATE_OPERATIONS_CTL_HPP

#include <bamboogate/config/setting_parser.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace bamboogate::operations {

/// Output streams of the command line. Text is written immediately, because the
/// operation id of a change must be visible even if the program is stopped.
struct ctl_streams
{
    std::function<void(std::string_view)> output;
    std::function<void(std::string_view)> diagnostics;
};

/// @brief Runs one command of `bamboogatectl` to its end.
/// @param arguments without the program name
/// @return the exit code, with the numbers of sysexits.h
[[nodiscard]] config::exit_code run_ctl(net::event_loop& loop,
                                        std::span<const std::string> arguments,
                                        const config::environment& variables,
                                        const ctl_streams& streams);

} // namespace bamboogate::operations

#endif
