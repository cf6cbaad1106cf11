#include "core/cell/task_starter.h"

#include <algorithm>

#include "core/cell/placement.h"

namespace savorytrail::cell {

using common::milliseconds;

namespace {

task_kind kind_of(const job_record& job, const task_record& task) {
    return {job.job().queue.name, job.step_of(task).image};
}

} // namespace

milliseconds task_starter::time_limit(const work::step& step, const task_record& task) const {
    const double factor =
        m_limits.stuck_factor * static_cast<double>(1 << std::min(task.lost_runs, 4));
    const auto estimate = static_cast<double>(std::max<std::int64_t>(step.estimate.count(), 1));
    return milliseconds(static_cast<std::int64_t>(estimate * factor)) + m_limits.stuck_grace;
}

const std::string* task_starter::choose_executor(const job_record& job,
                                                 const task_record& task) const {
    placement_request request;
    request.step = &job.step_of(task);
    request.upstream = &job.job().queue.upstream;
    request.avoid = &task.avoid;
    request.tasks_on_executor = [&](const std::string& executor) {
        return static_cast<int>(
            std::count_if(job.tasks().begin(), job.tasks().end(), [&](const task_record& other) {
                return other.step == task.step && other.state == task_state::active &&
                       other.executor == executor;
            }));
    };
    std::vector<neighbour_cost> costs;
    if (m_limits.avoids_interference && m_interference.knows_pairs()) {
        costs = m_interference.costs_beside(kind_of(job, task).key(), m_clock.now());
    }
    if (!costs.empty()) {
        request.interference_on = [&](const std::string& executor) {
            return m_interference.cost_on(executor, costs);
        };
    }
    return place(request, m_executor_manager.executors(), m_clock.now());
}

bool task_starter::start(job_record& job, task_record& task) {
    const auto id = job.id_of(task);
    if (m_stopping_runs.contains(id)) {
        return false;
    }
    const auto* executor = choose_executor(job, task);
    if (executor == nullptr) {
        return false;
    }
    const auto& step = job.step_of(task);
    task.last_run_number++;
    task.executor = *executor;
    if (!m_executor_manager.start(*executor, {id, task.last_run_number}, step.task_resources,
                                  time_limit(step, task), job.job().payload)) {
        task.last_run_number--;
        return false;
    }
    constexpr double speed = 1; // of the executor
    const auto expected = std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>(step.estimate) / speed);
    m_interference.note_start(*executor, {id, task.last_run_number}, kind_of(job, task), expected,
                              m_clock.now());
    job.set_state(task, task_state::active);
    job.note_start();
    return true;
}

std::vector<const task_record*> task_starter::start_waiting_tasks(job_record& job) {
    std::vector<const task_record*> started;
    std::optional<int> full_step; // tasks of a step have equal requirements
    for (auto& task : job.tasks()) {
        if (task.state != task_state::waiting || task.step == full_step) {
            continue;
        }
        if (start(job, task)) {
            started.push_back(&task);
        } else {
            full_step = task.step;
        }
    }
    return started;
}

} // namespace savorytrail::cell
