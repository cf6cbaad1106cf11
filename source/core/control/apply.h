// The commands `diff` and `apply`: compare a manifest with the one in the platform's table, or
// replace the latter.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/control/console.h"
#include "core/control/environment.h"

namespace savorytrail::control {

// Prints the changes that applying the file would make.
exit_status diff(const std::string& path, const common::endpoint& platform, environment& env,
                 console& io);

struct apply_options {
    std::string path;
    common::endpoint platform;
    std::string author;
    std::string change_id; // empty: a random one is generated
    std::optional<std::uint64_t> expected_version;
    std::vector<common::endpoint> entries; // polled until the version is in force
    common::milliseconds wait{6000};       // limit of the polling

    bool operator==(const apply_options&) const = default;
};

exit_status apply(const apply_options& options, environment& env, console& io);

} // namespace savorytrail::control
