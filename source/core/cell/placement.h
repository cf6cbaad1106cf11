// Chooses an executor for a task. Executors in the rack of the task's data come first; where speeds
// differ, then those on which the task can be expected to end in time; then those where tasks are
// not known to slow each other down. Of the rest the slowest is chosen if the task is on time
// there, so that the fast ones stay free for tasks with little time left, and the fastest if not.
// Executors that are equal so far are chosen by what coming tasks can still use there, and at last
// by best fit: the one with the least CPU left.
#pragma once

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/cell/executor_record.h"
#include "core/cell/executor_speed.h"
#include "core/cell/packing.h"
#include "core/work/job.h"

namespace savorytrail::cell {

// Whether tasks of the step may run there, whatever is free.
bool is_eligible(const work::step& step, const std::string& upstream,
                 const work::executor_info& it);

struct placement_request {
    const work::step* step = nullptr;
    const std::string* upstream = nullptr;
    const std::string* avoid = nullptr; // chosen only if no other executor fits
    bool is_isolated = false;           // only an executor without runs will do
    bool is_of_begun_job = false;       // a retiring executor will do too
    const packing* values = nullptr;    // of free capacity
    std::function<int(const std::string& executor)>
        tasks_on_executor; // active tasks of the step there, for its max_per_executor
    std::function<bool(const std::string& failure_domain)> has_begun_in; // the task's job
    const executor_speeds* speeds = nullptr; // nullptr where they do not differ
    common::milliseconds expected{0};        // duration at speed 1
    common::milliseconds left{0};            // until the task must have ended to be on time
    // How much the task and those there would slow each other down, in steps; may be empty.
    std::function<std::int64_t(const std::string& executor)> interference_on;
};

// What speaks against an executor, the weightiest first: the lowest cost is chosen.
struct placement_cost {
    bool is_drained = false; // as is its failure domain
    bool is_avoided = false;
    bool is_on_other_rack = false;
    bool is_cold = false;             // slow after its start
    bool is_late = false;             // not expected to end in time there, with a margin
    std::int64_t interference = 0;    // steps of slowdown, of the task and of those there
    int speed_steps = 0;              // slower where the task is on time, faster where it is late
    std::int64_t packing_loss = 0;    // see packing::loss()
    std::int64_t cpu_millis_left = 0; // after the task has started

    auto operator<=>(const placement_cost&) const = default;
};

struct placement {
    const std::string* executor = nullptr; // its id, or nullptr if none can take the task now
    bool is_late = false;                  // the task is not expected to end in time there

    bool operator==(const placement&) const = default;
};

// Why an executor cannot take a task, for reports.
std::vector<std::string_view> obstacles_to(const placement_request& request,
                                           const executor_record& it, common::time_point now);

// An executor that can take a task now.
struct placement_option {
    std::string executor;
    placement_cost cost;
};

// All executors that place() chooses from, the one that it chooses first. For reports: slower than
// place().
std::vector<placement_option> placement_options(const placement_request& request,
                                                const executor_map& executors,
                                                common::time_point now);

placement place(const placement_request& request, const executor_map& executors,
                common::time_point now);

// For a task that would be late where it can start now: the executor, not among `awaited`, that is
// expected to have room soonest, and so soon that the task is on time there; nullptr if there is
// none. Requires `speeds` in the request.
const std::string* worth_waiting_for(const placement_request& request,
                                     const executor_map& executors,
                                     const std::vector<const std::string*>& awaited,
                                     common::time_point now);

} // namespace savorytrail::cell
