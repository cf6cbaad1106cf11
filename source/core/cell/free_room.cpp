#include "core/cell/free_room.h"

#include <algorithm>
#include <limits>

#include "core/cell/placement.h"

namespace savorytrail::cell {
namespace {

int take_first_steps(free_room& room, const work::job& job) {
    int taken = 0;
    for (const auto& step : job.steps) {
        if (step.depends_on.empty()) {
            taken += room.take(step, job.queue.upstream, step.tasks);
        }
    }
    return taken;
}

void take_waiting(free_room& room, const job_record& job) {
    std::vector<int> waiting(job.job().steps.size(), 0);
    for (const auto& task : job.tasks()) {
        waiting[task.step] += task.state == task_state::waiting ? 1 : 0;
    }
    for (std::size_t step = 0; step < waiting.size(); step++) {
        room.take(job.job().steps[step], job.job().queue.upstream, waiting[step]);
    }
}

} // namespace

free_room::free_room(const executor_map& executors, common::time_point now) {
    for (const auto& [id, it] : executors) {
        const bool is_cold = it->is_cold(now);
        const bool is_open = it->accepts_work(now) && !it->is_retiring && !it->is_drained;
        if (is_open && !(is_cold && !it->runs.empty())) {
            // On probation, and while cold, an executor runs one task at a time.
            const bool takes_one = is_cold || it->health.is_on_probation();
            const int max_starts = takes_one ? 1 : std::numeric_limits<int>::max();
            m_executors.push_back({&it->info, it->free(), max_starts});
        }
    }
}

int free_room::take(const work::step& step, const std::string& upstream, int tasks) {
    if (m_full_for && m_full_for->upstream == upstream &&
        step.task_resources.covers(m_full_for->task)) {
        return 0;
    }
    int taken = 0;
    for (auto& it : m_executors) {
        if (taken >= tasks) {
            break;
        }
        if (!is_eligible(step, upstream, *it.info)) {
            continue;
        }
        int there = 0;
        while (taken < tasks && it.max_starts > 0 && it.free.covers(step.task_resources) &&
               (step.max_per_executor == 0 || there < step.max_per_executor)) {
            it.free -= step.task_resources;
            it.max_starts--;
            there++;
            taken++;
        }
    }
    if (taken < tasks && step.required_label.empty() && step.max_per_executor == 0) {
        m_full_for = full_for{step.task_resources, upstream};
    }
    return taken;
}

job_room room_for(const job_record& candidate, const std::list<job_record>& jobs,
                  const executor_map& executors, common::time_point now) {
    job_room result;
    for (const auto& step : candidate.job().steps) {
        result.tasks += step.depends_on.empty() ? step.tasks : 0;
    }
    const free_room all(executors, now);
    auto untouched = all;
    result.fitting = take_first_steps(untouched, candidate.job());
    if (result.tasks <= 0 || result.fitting < result.tasks) {
        return result;
    }
    auto rest = all;
    for (const auto& job : jobs) {
        if (job.has_waiting() && job.job().id != candidate.job().id) {
            take_waiting(rest, job);
        }
    }
    result.is_unclaimed = take_first_steps(rest, candidate.job()) == result.tasks;
    return result;
}

bool has_fitting_executors(const work::job& job, const executor_map& executors) {
    return std::all_of(job.steps.begin(), job.steps.end(), [&](const work::step& step) {
        return std::any_of(executors.begin(), executors.end(), [&](const auto& entry) {
            const auto& it = *entry.second;
            return it.is_kept() && !it.info.is_draining && !it.is_drained &&
                   is_eligible(step, job.queue.upstream, it.info) &&
                   it.info.capacity.covers(step.task_resources);
        });
    });
}

} // namespace savorytrail::cell
