// Commands that work without a network: checking files and printing settings.
#pragma once

#include <string>
#include <vector>

#include "core/control/console.h"

namespace savorytrail::control {

enum class file_kind { manifest, settings };

exit_status validate(const std::string& path, file_kind kind, console& io);

struct print_settings_options {
    std::string path;                     // empty: the defaults, as a file to start from
    std::vector<std::string> assignments; // such as "callers.threads=8"
};

// Prints the settings that an entry would run with.
exit_status print_settings(const print_settings_options& options, console& io);

// Prints the reference page of all settings.
exit_status print_reference(console& io);

} // namespace savorytrail::control
