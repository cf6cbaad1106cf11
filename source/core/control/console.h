// Where a command of savoryctl writes, and the exit status by which pipelines judge it.
#pragma once

#include <ostream>

namespace savorytrail::control {

enum class exit_status {
    ok = 0,
    refused = 1,     // a conflict, or the other side refused
    bad_input = 2,   // bad usage, or a file with problems
    unreachable = 3, // the platform or an entry could not be reached, or the outcome is unknown
    not_in_force = 4 // accepted, but not in force on every entry in time
};

struct console {
    std::ostream& out;
    std::ostream& err; // errors and progress
    bool json = false; // one JSON object on `out`
};

} // namespace savorytrail::control
