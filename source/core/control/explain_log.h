// The story of one job from the logs of entries, for the time afterwards, when only those are left.
#pragma once

#include <string>
#include <vector>

#include "core/control/console.h"

namespace savorytrail::control {

// `paths`: files, or "-" for the standard input.
exit_status explain_log(const std::string& job, const std::vector<std::string>& paths, console& io);

} // namespace savorytrail::control
