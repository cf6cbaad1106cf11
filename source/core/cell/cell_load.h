// The load that a cell publishes to other entries, worked out from its executors.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/cell/executor_record.h"
#include "core/cell/executor_speed.h"
#include "core/cell/packing.h"

namespace savorytrail::cell {

// Where the speeds of executors differ, CPU counts as work: times the executor's speed.
struct cell_load {
    std::int64_t capacity_cpu_millis = 0; // of the executors that accept work
    std::int64_t free_cpu_millis = 0;
    // The part of it, on executors that accept work now, that coming tasks are expected to use;
    // while too few of them are known, or all are small, what is free on each executor in whole
    // typical tasks.
    std::int64_t usable_cpu_millis = 0;
    std::int64_t backlog_ms = 0; // time to work off the waiting tasks on all of them

    bool operator==(const cell_load&) const = default;
};

// The load without the backlog. `typical_task_cpu_millis`: 0 before the first job.
cell_load load_of(const executor_map& executors, const packing& values,
                  double typical_task_cpu_millis, const executor_speeds& speeds,
                  common::time_point now);

} // namespace savorytrail::cell
