// The burn report as text, as JSON for scripts, and as an HTML page.
#pragma once

#include <string>

#include "core/report/burn.h"

namespace savorytrail::report {

std::string render_text(const burn_report& report);
std::string render_json(const burn_report& report);
// A self-contained page.
std::string render_html(const burn_report& report);

} // namespace savorytrail::report
