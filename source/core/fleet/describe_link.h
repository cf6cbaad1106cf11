// Describes for the log what this entry last heard of another one. Ages are those that the view
// judges by: time in which this entry did not run is left out.
#pragma once

#include "core/fleet/view.h"

namespace savorytrail::fleet {

// For example "last heartbeat 1310 ms ago, not live".
std::string describe_last_heartbeat(const view& of, const std::string& name,
                                    common::time_point now);

// Adds how long before that heartbeat the other entry had heard this one, as it told there.
std::string describe_link(const view& of, const std::string& name, common::time_point now);

} // namespace savorytrail::fleet
