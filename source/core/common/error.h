// The project's error codes, and a result type that carries either a value or an error code.
#pragma once

#include <boost/outcome/std_result.hpp>
#include <system_error>

namespace savorytrail::common {

enum class error {
    malformed = 1,      // the peer or caller sent something that cannot be parsed
    timed_out,          // no answer within the bound; the request may have taken effect
    unreachable,        // provably nothing was sent
    connection_refused, // likewise: the peer's machine answered that no process listens there
    connection_lost,    // the connection broke after bytes were sent
    conflict,           // a compare-and-swap found another version
    not_found,
    unavailable, // the peer answered that it cannot serve the request now
};

const std::error_category& error_category() noexcept;

// Whether the error says that provably nothing was sent.
bool is_unsent(const std::error_code& ec) noexcept;

inline std::error_code make_error_code(error code) noexcept {
    return {static_cast<int>(code), error_category()};
}

template <typename T>
using result = boost::outcome_v2::std_result<T>;

} // namespace savorytrail::common

template <>
struct std::is_error_code_enum<savorytrail::common::error> : std::true_type {};
