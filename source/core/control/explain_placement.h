// The command that asks an entry of the users' platform where a job would go now, and why. Nothing
// is sent, reserved or changed.
#pragma once

#include <cstdint>
#include <string>

#include "core/control/console.h"
#include "core/control/environment.h"

namespace savorytrail::control {

struct explain_placement_options {
    std::string path;             // of the job, as a caller would send it
    common::endpoint entry;       // where it serves its metrics
    std::string queue;            // empty: that of the route
    std::string host;             // of the route
    std::string route;            // path of the route
    std::int64_t patience_ms = 0; // 0: the route's

    bool operator==(const explain_placement_options&) const = default;
};

// All failures, an entry that does not answer included, have the status `bad_input`.
exit_status explain_placement(const explain_placement_options& options, environment& env,
                              console& io);

} // namespace savorytrail::control
