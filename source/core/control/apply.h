// Commands that compare a manifest with the one in the platform's table, and put it there.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/control/console.h"
#include "core/control/environment.h"

namespace savorytrail::control {

// Prints what applying the file would change.
exit_status diff(const std::string& path, const common::endpoint& platform, environment& env,
                 console& io);

struct apply_options {
    std::string path;
    common::endpoint platform;
    std::string author;
    std::string change_id; // empty: a random one is chosen
    std::optional<std::uint64_t> expected_version;
    std::vector<common::endpoint> entries; // asked whether the version is in force
    common::milliseconds wait{6000};       // for it to be in force on all of them

    bool operator==(const apply_options&) const = default;
};

exit_status apply(const apply_options& options, environment& env, console& io);

} // namespace savorytrail::control
