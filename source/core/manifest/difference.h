// Lists the changes from one manifest to another, for operators to review before applying it.
#pragma once

#include <string>
#include <vector>

#include "core/manifest/manifest.h"

namespace savorytrail::manifest {

enum class change_kind { added, removed, changed };

struct change {
    change_kind kind = change_kind::changed;
    std::string subject; // such as "executor booking/b-1"
    std::string detail;  // such as "slots: 8 -> 16"; empty unless changed

    bool operator==(const change&) const = default;
    std::string to_string() const; // "+ subject", "- subject" or "~ subject: detail"
};

// Teams, then upstreams with their executors, then objectives; one entry for each changed value.
std::vector<change> difference(const manifest& from, const manifest& to);

} // namespace savorytrail::manifest
