// Which cell gets a job: one of the failure domain's dispatchers while they have room; another
// domain's when the wait here would be longer by more than the way there costs.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/fleet/heartbeat.h"
#include "core/work/job.h"

namespace savorytrail::gateway {

struct target {
    std::string name;
    bool is_in_own_domain = false;         // of this entry's failure domain
    fleet::entry_load load;                // as last told
    std::int64_t sent_since_heartbeat = 0; // processor room of jobs passed to it since it told

    bool operator==(const target&) const = default;
};

// The index of the best target; nullopt when there is none.
std::optional<std::size_t> choose_target(const work::job& job, const std::vector<target>& targets);

} // namespace savorytrail::gateway
