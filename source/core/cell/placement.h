// Chooses an executor for a task. Executors in the rack of the task's data come first, then those
// where tasks are not known to slow each other down, then best fit: the executor with the least CPU
// left, so that large tasks still fit elsewhere.
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
    // How much the task and those there would slow each other down, in steps; may be empty.
    std::function<std::int64_t(const std::string& executor)> interference_on;
};

// What speaks against an executor, the weightiest first: the lowest cost is chosen.
struct placement_cost {
    bool is_avoided = false;
    bool is_on_other_rack = false;
    std::int64_t interference = 0;    // steps of slowdown, of the task and of those there
    std::int64_t cpu_millis_left = 0; // after the task has started

    auto operator<=>(const placement_cost&) const = default;
};

// Returns the executor's id, or nullptr if no executor can take the task now.
const std::string* place(const placement_request& request,
                         const std::map<std::string, std::unique_ptr<executor_record>>& executors,
                         common::time_point now);

} // namespace savorytrail::cell
