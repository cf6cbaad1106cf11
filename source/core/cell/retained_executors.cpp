#include "core/cell/retained_executors.h"

#include <algorithm>
#include <vector>

#include "core/cell/placement.h"

namespace savorytrail::cell {
namespace {

struct retiring_executor {
    const work::executor_info* info = nullptr;
    bool has_runs = false;
    work::resources room; // without its runs, which end before it is released
};

std::vector<retiring_executor> retiring_among(const executor_map& executors) {
    std::vector<retiring_executor> list;
    for (const auto& [id, it] : executors) {
        const bool is_usable =
            it->state == claim_state::held && !it->is_unresponsive() && !it->info.is_draining;
        if (it->is_retiring && is_usable) {
            list.push_back({&it->info, !it->runs.empty(), it->info.capacity});
        }
    }
    std::stable_partition(list.begin(), list.end(),
                          [](const retiring_executor& it) { return it.has_runs; });
    return list;
}

bool can_run(const work::step& step, const work::job& job, const work::executor_info& at) {
    return is_eligible(step, job.queue.upstream, at) && at.capacity.covers(step.task_resources);
}

bool can_run_on_kept(const work::step& step, const work::job& job, const executor_map& executors) {
    return std::any_of(executors.begin(), executors.end(), [&](const auto& it) {
        return it.second->is_kept() && can_run(step, job, it.second->info);
    });
}

// The steps of a job whose tasks only retiring executors can run.
std::vector<bool> steps_without_kept_executor(const work::job& job, const executor_map& executors) {
    std::vector<bool> list;
    list.reserve(job.steps.size());
    for (const auto& step : job.steps) {
        list.push_back(!can_run_on_kept(step, job, executors));
    }
    return list;
}

bool is_to_start(const task_record& it) {
    return it.state == task_state::waiting || it.state == task_state::blocked;
}

// Takes room for the task; returns the executor, or nullptr if none has room.
const work::executor_info* take_room(std::vector<retiring_executor>& retiring,
                                     const work::step& step, const work::job& job) {
    const auto found =
        std::find_if(retiring.begin(), retiring.end(), [&](const retiring_executor& it) {
            return it.room.covers(step.task_resources) && can_run(step, job, *it.info);
        });
    if (found == retiring.end()) {
        return nullptr;
    }
    found->room -= step.task_resources;
    return found->info;
}

} // namespace

std::set<std::string> executors_for_begun_jobs(const std::list<job_record>& jobs,
                                               const executor_map& executors) {
    auto retiring = retiring_among(executors);
    std::set<std::string> needed;
    if (retiring.empty()) {
        return needed;
    }
    for (const auto& job : jobs) {
        if (!job.may_have_run()) {
            continue;
        }
        const auto lacks_kept_executor = steps_without_kept_executor(job.job(), executors);
        for (const auto& task : job.tasks()) {
            if (!is_to_start(task) || !lacks_kept_executor[task.step]) {
                continue;
            }
            if (const auto* chosen = take_room(retiring, job.step_of(task), job.job())) {
                needed.insert(chosen->id);
            }
        }
    }
    return needed;
}

} // namespace savorytrail::cell
