// Recommended actions for an objective whose error budget burns too fast.
#pragma once

#include <string>
#include <vector>

#include "core/report/burn.h"

namespace savorytrail::report {

std::vector<std::string> advise(const burn_report& report, const objective_burn& burn);

} // namespace savorytrail::report
