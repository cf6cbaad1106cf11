// Jobs for the tests of cells.
#pragma once

#include "core/cell/limits.h"
#include "core/work/job.h"

namespace savorytrail::cell {

inline work::job make_job(const std::string& id, int tasks, common::milliseconds estimate,
                          std::int64_t cpu_millis = 27000, const std::string& queue = "q") {
    work::job job;
    job.id = id;
    job.payload = "payload of " + id;
    work::step step;
    step.tasks = tasks;
    step.task_resources = {cpu_millis, 64, 0};
    step.estimate = estimate;
    job.steps = {step};
    job.queue.name = queue;
    job.queue.upstream = "u";
    job.queue.max_attempts = 3;
    job.queue.stretch = 1.6;
    job.queue.target = common::milliseconds(60);
    job.patience = common::milliseconds(2000);
    return job;
}

// Limits of a cell that holds less urgent jobs back while more urgent ones lack free capacity.
inline limits reserving_limits() {
    limits it;
    it.reserves_capacity = true;
    return it;
}

} // namespace savorytrail::cell
