// Who goes first when executors are short. Three groups, in this order:
//  1. jobs of which something runs already, since a job earns nothing before all of it is done;
//  2. jobs that can still be answered on time, the one with the earliest latest start first;
//  3. jobs that will be late, the smallest first.
// Within a latest start, the queue's priority decides.
#pragma once

#include <compare>

#include "core/cell/job_record.h"

namespace savorytrail::cell {

enum class urgency { started, on_time, late, too_late };

struct rank {
    urgency group = urgency::on_time;
    double key = 0; // the smaller the sooner
    int priority = 0;

    std::partial_ordering operator<=>(const rank&) const = default;
};

// `too_late`: it can't end even by the time after which its answer is worth nothing.
rank rank_of(const job_record& it, common::time_point now);

} // namespace savorytrail::cell
