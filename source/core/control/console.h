// Output streams and exit statuses of savoryctl's commands. Pipelines rely on the exit statuses.
#pragma once

#include <ostream>

namespace savorytrail::control {

enum class exit_status {
    ok = 0,
    refused = 1,     // a conflict, or the platform or entry refused the request
    bad_input = 2,   // invalid usage or an invalid file
    unreachable = 3, // the platform or an entry could not be reached, or the outcome is unknown
    not_in_force = 4 // accepted, but not in force on every entry in time
};

struct console {
    std::ostream& out;
    std::ostream& err; // errors and progress
    bool json = false; // print one JSON object to `out` instead of text
};

} // namespace savorytrail::control
