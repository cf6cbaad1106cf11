// Startup and shutdown that all stand-in programs share.
#pragma once

#include <functional>

namespace savorytrail::stand_ins {

// Blocks SIGTERM and SIGINT, runs `start`, prints `ready`, waits for one of the signals and exits
// the process with code 0. Returns only when `start` fails, with exit code 1. Stand-ins persist
// nothing, so threads that are still serving clients are not joined.
int serve_until_signal(const std::function<bool()>& start);

} // namespace savorytrail::stand_ins
