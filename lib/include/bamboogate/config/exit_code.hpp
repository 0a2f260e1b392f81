#ifndef BAMBOOGATE_CONFIG_EXIT_CODE_HPP
#define BAMBOOGATE_CONFIG_EXIT_CODE_HPP

#include <bamboogate/core/error.hpp>

namespace bamboogate::config {

/// Exit codes of the programs, with the numbers of sysexits.h.
enum class exit_code : int
{
    ok = 0,
    failure = 1,        ///< a failure without a more specific code
    usage = 64,         ///< EX_USAGE: the command line is invalid
    data = 65,          ///< EX_DATAERR: an input file is invalid
    no_input = 66,      ///< EX_NOINPUT: an input file cannot be read
    unavailable = 69,   ///< EX_UNAVAILABLE: a service is unavailable
    software = 70,      ///< EX_SOFTWARE: internal error
    system = 71,        ///< EX_OSERR: an operating system call failed
    cannot_create = 73, ///< EX_CANTCREAT: an output file cannot be written
    io = 74,            ///< EX_IOERR: storage error
    temporary = 75,     ///< EX_TEMPFAIL: a retry may succeed
    no_permission = 77, ///< EX_NOPERM: no key, or one without permission
    config = 78,        ///< EX_CONFIG: a setting has an invalid value
};

[[nodiscard]] constexpr int to_int(exit_code code) noexcept
{
    return static_cast<int>(code);
}

/// @brief The exit code for a failure that ends a program.
[[nodiscard]] exit_code exit_code_of(errc code) noexcept;

} // namespace bamboogate::config

#endif
