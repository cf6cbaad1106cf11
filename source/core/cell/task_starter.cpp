#include "core/cell/task_starter.h"

#include <algorithm>

#include "core/cell/placement.h"

namespace savorytrail::cell {

using common::milliseconds;

namespace {

milliseconds scaled(milliseconds it, double factor) {
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(it.count()) * factor));
}

} // namespace

milliseconds task_starter::time_limit(const job_record& job, const task_record& task) const {
    const double factor =
        m_limits.stuck_factor * static_cast<double>(1 << std::min(task.lost_runs, 4));
    const auto predicted = std::max(job.step_of(task).estimate, milliseconds(1));
    const auto limit = scaled(predicted, factor) + m_limits.stuck_grace;
    const auto& executor = m_executor_manager.executors().at(task.executor)->info;
    const double speed = m_speeds.cautious_speed(executor);
    if (speed == 1 && !m_speeds.do_differ()) {
        return limit;
    }
    // On a slow executor, a task that takes many times as long as usual is far beyond a limit by
    // the prediction, which is shrunk towards the usual.
    const auto& queue = job.job().queue;
    const auto longest = std::max(
        predicted, m_durations.cautious_duration(queue.name, job.caller_estimate(task.step)));
    const auto extended = scaled(longest, factor / speed) + m_limits.stuck_grace;
    // If the run hangs, another one must still be of use to the caller.
    const auto useful_until =
        std::min(job.late_until() +
                     scaled(longest - predicted, m_limits.late_factor * queue.stretch),
                 job.give_up_at()) -
        longest;
    const auto useful = std::chrono::duration_cast<milliseconds>(useful_until - m_clock.now());
    return std::max(limit, std::min(extended, useful));
}

const std::string* task_starter::choose_executor(const job_record& job,
                                                 const task_record& task) const {
    placement_request request;
    request.step = &job.step_of(task);
    request.upstream = &job.job().queue.upstream;
    request.avoid = &task.avoid;
    if (m_speeds.do_differ()) {
        request.speeds = &m_speeds;
        request.expected = request.step->estimate;
        request.left =
            std::chrono::duration_cast<milliseconds>(job.on_time_until() - m_clock.now()) -
            job.job().path_length_after(task.step);
    }
    request.tasks_on_executor = [&](const std::string& executor) {
        return static_cast<int>(
            std::count_if(job.tasks().begin(), job.tasks().end(), [&](const task_record& other) {
                return other.step == task.step && other.state == task_state::active &&
                       other.executor == executor;
            }));
    };
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
                                  time_limit(job, task), job.job().payload)) {
        task.last_run_number--;
        return false;
    }
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
