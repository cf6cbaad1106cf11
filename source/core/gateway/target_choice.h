// Chooses the cell that gets a job: one of this entry's failure domain while it has capacity, or
// one of another domain when the expected wait there is shorter by more than the cost of leaving.
// Load pattern: many entries choose by the same loads, reported a while ago. Among cells that are
// as good as equal, each is chosen at random in proportion to its free capacity, so that the
// entries do not all choose the same one until its next report.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/common/random.h"
#include "core/fleet/entry_state.h"
#include "core/work/job.h"

namespace savorytrail::gateway {

struct target {
    std::string name;
    bool is_in_own_domain = false; // in this entry's failure domain
    fleet::entry_load load;        // from its last heartbeat
    // CPU demand of jobs forwarded to it since that heartbeat.
    std::int64_t sent_since_heartbeat = 0;

    bool operator==(const target&) const = default;
};

// Returns the index of the best target; nullopt when the list is empty.
std::optional<std::size_t> choose_target(const work::job& job, const std::vector<target>& targets,
                                         common::random_source& random);

} // namespace savorytrail::gateway
