// Manifest files that are given on the command line.
#pragma once

#include <string>
#include <vector>

#include "core/manifest/manifest.h"

namespace savorytrail::control {

struct manifest_file {
    std::string text;
    manifest::manifest value;
    std::vector<settings::problem>
        problems; // parse errors, or one problem if the file cannot be read

    bool operator==(const manifest_file&) const = default;
};

manifest_file read_manifest(const std::string& path);

} // namespace savorytrail::control
