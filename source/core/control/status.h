// The state of the fleet as its entries report it.
#pragma once

#include <vector>

#include "core/control/console.h"
#include "core/control/environment.h"

namespace savorytrail::control {

// exit_status::unreachable when an entry gave no answer.
exit_status status(const std::vector<common::endpoint>& entries, environment& env, console& io);

} // namespace savorytrail::control
