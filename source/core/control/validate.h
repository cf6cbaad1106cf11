// Commands that use no network: validation of files and printing of settings.
#pragma once

#include <string>
#include <vector>

#include "core/control/console.h"

namespace savorytrail::control {

enum class file_kind { manifest, settings };

exit_status validate(const std::string& path, file_kind kind, console& io);

struct print_settings_options {
    std::string path;                     // empty: print the defaults, as a template
    std::vector<std::string> assignments; // such as "callers.threads=8"
};

// Prints the effective settings of an entry.
exit_status print_settings(const print_settings_options& options, console& io);

// Prints the reference documentation of all settings.
exit_status print_reference(console& io);

} // namespace savorytrail::control
