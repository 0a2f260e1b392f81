#ifndef BAMBOOGATE_CONFIG_EXIT_CODE_HPP
#define BAMBOOGATE_CONFIG_EXIT_CODE_HPP

#include <bamboogate/core/error.hpp>

namespace bamboogate::config {

/// Exit codes of the programs, with the numbers of sysexits.h.
enum class exit_code : int
{
    ok = 0,
    failure = 1,        ///< a failure without a closer code
    usage = 64,         ///< EX_USAGE: the command line does not parse
    data = 65,          ///< EX_DATAERR: an input file has faults
    no_input = 66,      ///< EX_NOINPUT: an input file cannot be read
    unavailable = 69,   ///< EX_UNAVAILABLE: a needed service is not there
    software = 70,      ///< EX_SOFTWARE: internal fault
    system = 71,        ///< EX_OSERR
    cannot_create = 73, ///< EX_CANTCREAT: an output file cannot be written
    io = 74,            ///< EX_IOERR: storage fault
    temporary = 75,     ///< EX_TEMPFAIL: worth another try
    no_permission = 77, ///< EX_NOPERM: key missing, unknown or without right
    config = 78,        ///< EX_CONFIG: a setting has a value not allowed
};

[[nodiscard]] constexpr int to_int(exit_code code) noexcept
{
    return static_cast<int>(code);
}

/// @brief The exit code for a failure that ends a program.
[[nodiscard]] exit_code exit_code_of(errc code) noexcept;

} // namespace bamboogate::config

#endif
