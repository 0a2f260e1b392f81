#ifndef BAMBOOGATE_CORE_RESULT_HPP
#define BAMBOOGATE_CORE_RESULT_HPP

#include <bamboogate/core/error.hpp>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

namespace bamboogate {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value or an error. Accessing the alternative that is absent terminates the
/// process.
template <typename T>
using result = outcome::basic_result<T, error, outcome::policy::terminate>;

/// @brief Creates the error alternative of a result.
/// @param detail text for people
[[nodiscard]] inline auto fail(errc code, std::string detail = {})
{
    return outcome::failure(error{code, std::move(detail)});
}

} // namespace bamboogate

#endif
