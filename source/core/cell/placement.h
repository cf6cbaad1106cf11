// Chooses an executor for a task. Executors in the rack of the task's data come first, then best
// fit: the executor with the least CPU left, so that large tasks still fit elsewhere.
#pragma once

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/cell/executor_record.h"
#include "core/work/job.h"

namespace savorytrail::cell {

struct placement_request {
    const work::step* step = nullptr;
    const std::string* upstream = nullptr;
    const std::string* avoid = nullptr; // chosen only if no other executor fits
    std::function<int(const std::string& executor)>
        tasks_on_executor; // active tasks of the step there, for its max_per_executor
    std::function<bool(const std::string& failure_domain)> has_begun_in; // the task's job
};

// What speaks against an executor, the weightiest first: the lowest cost is chosen.
struct placement_cost {
    bool is_drained = false; // as is its failure domain
    bool is_avoided = false;
    bool is_on_other_rack = false;
    bool is_cold = false;             // slow after its start
    std::int64_t cpu_millis_left = 0; // after the task has started

    auto operator<=>(const placement_cost&) const = default;
};

// Returns the executor's id, or nullptr if no executor can take the task now.
const std::string* place(const placement_request& request,
                         const std::map<std::string, std::unique_ptr<executor_record>>& executors,
                         common::time_point now);

} // namespace savorytrail::cell
