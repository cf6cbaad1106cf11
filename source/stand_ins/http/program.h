// What every stand-in program does the same way: announce that it listens, and end on a signal.
#pragma once

#include <functional>

namespace savorytrail::stand_ins {

// Runs `start` with the stop signals held back, prints `ready`, waits for SIGTERM or SIGINT and
// ends the process with exit code 0. Returns only when `start` fails, with exit code 1. Stand-ins
// keep nothing, so threads that still wait for callers are not joined.
int serve_until_signal(const std::function<bool()>& start);

} // namespace savorytrail::stand_ins
