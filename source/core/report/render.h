// The burn report for people, for pipelines, and as a page.
#pragma once

#include <string>

#include "core/report/burn.h"

namespace savorytrail::report {

std::string render_text(const burn_report& report);
std::string render_json(const burn_report& report);
// One page that needs no other file.
std::string render_html(const burn_report& report);

} // namespace savorytrail::report
