// The command `explain --log`: reconstructs the story of one job from the logs of entries, for use
// when the entries no longer have it in memory.
#pragma once

#include <string>
#include <vector>

#include "core/control/console.h"

namespace savorytrail::control {

// `paths`: log files; "-" stands for the standard input.
exit_status explain_log(const std::string& job, const std::vector<std::string>& paths, console& io);

} // namespace savorytrail::control
