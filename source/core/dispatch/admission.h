// Admission of a job before its first task starts: whether the queue has capacity for it and its
// deadline can be met. An admitted job is not throttled afterwards.
#pragma once

#include <string>

#include "core/dispatch/types.h"

namespace savorytrail::dispatch {

// Size and time limit of a job.
struct job_demand {
    std::size_t tasks = 0;
    common::milliseconds work{0};             // sum of the tasks' typical times
    common::milliseconds min_work{0};         // sum of the tasks' minimum times
    common::milliseconds min_longest_task{0}; // largest minimum time of a task
    // Largest expected time of a task; the minimum time counts for a task with no learned time.
    common::milliseconds expected_longest_task{0};
    common::milliseconds time_left{0}; // until the deadline

    bool operator==(const job_demand&) const = default;
};

// State of an upstream's queue.
struct queue_capacity {
    std::size_t queued = 0;
    std::size_t max_queued = 0;
    std::size_t slots = 0;              // usable now, including those that could be borrowed
    std::size_t idle = 0;               // of the usable slots
    std::size_t lent = 0;               // own slots that other entries return soon
    std::size_t fleet_slots = 0;        // of the upstream at all entries
    common::milliseconds work_ahead{0}; // of the waiting tasks that would be served before the job
    common::milliseconds task_time{0};  // typical for one task

    bool operator==(const queue_capacity&) const = default;
};

admission_result check_admission(const std::string& upstream, const job_demand& job,
                                 const queue_capacity& queue);

} // namespace savorytrail::dispatch
