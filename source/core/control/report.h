// Output shared by the commands: problems, errors and single lines of JSON.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <system_error>
#include <vector>

#include "core/control/console.h"
#include "core/settings/problem.h"

namespace savorytrail::control {

nlohmann::json to_json(const std::vector<settings::problem>& problems);

void print_json(const nlohmann::json& value, console& io);

// Prints problems to `err` as text, or to `out` as {"outcome":"invalid","problems":[...]}.
exit_status report_problems(const std::vector<settings::problem>& problems, console& io);

// Prints "error: <message>", or {"outcome":"error","error":<message>}.
exit_status report_error(exit_status status, const std::string& message, console& io);

// Reports an error of the platform's table after which nothing was written.
exit_status report_platform_error(const std::error_code& ec, console& io);

} // namespace savorytrail::control
