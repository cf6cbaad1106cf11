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

// CPU demand of the tasks that depend on no others.
std::int64_t first_tasks_cpu_millis(const work::job& job);
// Whether the target's published usable capacity, less what was sent to it since, holds all these
// tasks.
bool has_room(const work::job& job, const target& it);

// How long a job can wait for its first tasks to start and still be answered in time.
struct job_slack {
    common::milliseconds on_time{0};
    common::milliseconds useful{0}; // late, but the caller still waits and the answer has a value

    bool operator==(const job_slack&) const = default;
};

// The targets that a job is worth being offered to after `offers` cells have refused it: those with
// room while it can be on time there, and, up to the third offer, those whose backlog ends before
// the job is useless.
std::vector<target> targets_after_refusal(const work::job& job, const std::vector<target>& targets,
                                          const job_slack& slack, int offers);

struct rated_target {
    double cost_ms = 0; // expected wait, and the cost of leaving the failure domain
    // Of the random choice among those as good as equal to the best; 0 for the others.
    double weight = 0;

    bool operator==(const rated_target&) const = default;
};

// In the order of the targets.
std::vector<rated_target> rate_targets(const work::job& job, const std::vector<target>& targets);

// Returns the index of the best target; nullopt when the list is empty.
std::optional<std::size_t> choose_target(const work::job& job, const std::vector<target>& targets,
                                         common::random_source& random);

} // namespace savorytrail::gateway
