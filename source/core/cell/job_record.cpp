#include "core/cell/job_record.h"

#include <algorithm>

#include "core/cell/crash_history.h"

namespace savorytrail::cell {
namespace {

constexpr common::time_point::duration scaled(common::milliseconds it, double factor) {
    return common::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(it.count()) * factor));
}

} // namespace

job_record::job_record(work::job job, const work::job& submitted, const limits& by,
                       common::time_point now)
    : m_job(std::move(job)), m_arrived(now),
      m_on_time_until(now - m_job.waited + m_job.objective()),
      m_late_until(now - m_job.waited + scaled(m_job.objective(), by.late_factor)),
      m_give_up_at(now + m_job.patience) {
    for (const auto& it : submitted.steps) {
        m_caller_estimates.push_back(it.estimate);
    }
    const auto crash_key = crash_key_of_job(m_job.id);
    for (int step = 0; step < static_cast<int>(m_job.steps.size()); step++) {
        for (int index = 0; index < m_job.steps[step].tasks; index++) {
            task_record task;
            task.step = step;
            task.index = index;
            task.crash_key = crash_key_of_task(crash_key, id_of(task));
            m_tasks.push_back(std::move(task));
        }
    }
    unblock();
}

void job_record::unblock() {
    std::vector<int> open(m_job.steps.size(), 0);
    for (const auto& it : m_tasks) {
        open[it.step] += it.state == task_state::done ? 0 : 1;
    }
    for (auto& it : m_tasks) {
        if (it.state != task_state::blocked) {
            continue;
        }
        const auto& after = step_of(it).depends_on;
        if (std::all_of(after.begin(), after.end(), [&](int step) { return open[step] == 0; })) {
            set_state(it, task_state::waiting);
        }
    }
}

void job_record::set_state(task_record& it, task_state state) {
    m_waiting -= it.state == task_state::waiting ? 1 : 0;
    m_done -= it.state == task_state::done ? 1 : 0;
    const auto cpu_millis = static_cast<double>(step_of(it).task_resources.cpu_millis);
    m_active_cpu_millis -= it.state == task_state::active ? cpu_millis : 0;
    m_waiting_cpu_millis -= it.state == task_state::waiting ? cpu_millis : 0;
    it.state = state;
    m_active_cpu_millis += it.state == task_state::active ? cpu_millis : 0;
    m_waiting_cpu_millis += it.state == task_state::waiting ? cpu_millis : 0;
    m_waiting += it.state == task_state::waiting ? 1 : 0;
    m_done += it.state == task_state::done ? 1 : 0;
}

common::time_point job_record::held_until() const {
    auto latest = common::time_point::min();
    for (const auto& it : waiters) {
        latest = std::max(latest, it.held_until);
    }
    return latest;
}

double job_record::waiting_cpu_demand() const {
    double sum = 0;
    for (const auto& it : m_tasks) {
        if (it.state == task_state::waiting || it.state == task_state::blocked) {
            const auto& step = step_of(it);
            sum += static_cast<double>(step.task_resources.cpu_millis) *
                   static_cast<double>(step.estimate.count());
        }
    }
    return sum;
}

} // namespace savorytrail::cell
