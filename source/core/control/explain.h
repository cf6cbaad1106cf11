// The command `explain`: prints the recorded events of one job, from the entry that is its home.
#pragma once

#include <string>

#include "core/control/console.h"
#include "core/control/environment.h"

namespace savorytrail::control {

exit_status explain(const std::string& job, const common::endpoint& entry, environment& env,
                    console& io);

} // namespace savorytrail::control
