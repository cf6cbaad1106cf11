// Order in which jobs get executors. The groups, in this order:
//  1. jobs that have started, since a job is of no use before all its tasks are done;
//  2. jobs that can still be on time, the earliest latest start time first;
//  3. jobs that will be late, the smallest first;
//  4. jobs whose answer would come too late to be of use.
// The latest start time is compared in steps of 20 ms. Ties are broken by the priority of the
// queue.
#pragma once

#include <compare>

#include "core/cell/job_record.h"

namespace savorytrail::cell {

enum class urgency { started, on_time, late, too_late };

struct rank {
    urgency group = urgency::on_time;
    double key = 0; // smaller goes first
    int priority = 0;

    std::partial_ordering operator<=>(const rank&) const = default;
};

// A job is `too_late` if it cannot end before its answer is useless to the caller.
rank rank_of(const job_record& it, common::time_point now);

} // namespace savorytrail::cell
