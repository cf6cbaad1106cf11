// Admission of a job before its first start: whether the queue can take it and its deadline can be
// met. An admitted job is never held back afterwards.
#pragma once

#include <string>

#include "core/dispatch/types.h"

namespace savorytrail::dispatch {

// What a job asks for.
struct job_demand {
    std::size_t tasks = 0;
    common::milliseconds work{0};             // sum of the tasks' typical times
    common::milliseconds min_work{0};         // sum of the tasks' least times
    common::milliseconds min_longest_task{0}; // the longest task at its least time
    common::milliseconds expected_longest_task{
        0};                            // the longest task; its least time when not learned
    common::milliseconds time_left{0}; // until the deadline

    bool operator==(const job_demand&) const = default;
};

// What an upstream's queue can give.
struct queue_capacity {
    std::size_t queued = 0;
    std::size_t max_queued = 0;
    std::size_t slots = 0;              // usable now, slots that could be borrowed included
    std::size_t idle = 0;               // of those
    std::size_t fleet_slots = 0;        // of the upstream everywhere
    common::milliseconds work{0};       // of all waiting tasks
    common::milliseconds work_ahead{0}; // of the waiting tasks that would be served before
    common::milliseconds task_time{0};  // typical for one task

    bool operator==(const queue_capacity&) const = default;
};

admission_result check_admission(const std::string& upstream, const job_demand& job,
                                 const queue_capacity& queue);

} // namespace savorytrail::dispatch
