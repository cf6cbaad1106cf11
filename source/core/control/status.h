// The command `status`: prints the state of the fleet as its entries report it.
#pragma once

#include <vector>

#include "core/control/console.h"
#include "core/control/environment.h"

namespace savorytrail::control {

// Returns exit_status::unreachable if any entry gave no valid answer.
exit_status status(const std::vector<common::endpoint>& entries, environment& env, console& io);

} // namespace savorytrail::control
