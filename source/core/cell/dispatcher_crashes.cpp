// The part of dispatcher that deals with tasks under which executors have crashed: suspects start
// alone on an executor, after all other jobs and few at a time; a job with a task that is proven to
// crash executors fails at once.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/cell/dispatcher.h"

namespace savorytrail::cell {
namespace {

constexpr const char* crashes_executors = "a task has crashed the executors that started it";
constexpr const char* no_suspect_in_time =
    "executors have crashed under a task of it, and no other can be put at risk in time";

} // namespace

void dispatcher::on_executor_crashed(const executor_crash& it) {
    const auto now = m_clock.now();
    m_crashes.note_crash(it, now);
    for (const auto& run : it.runs) {
        m_crash_risk.note_crash(run.run, now);
    }
    for (const auto& run : it.runs) {
        if (const auto job = find(run.run.task.job); job != m_jobs.end()) {
            fail_if_proven(job);
        }
    }
}

void dispatcher::on_crash_refuted(const std::string& executor, std::int64_t start_time_ms) {
    m_crashes.note_refuted(executor, start_time_ms);
}

std::size_t dispatcher::learn_crashes(const std::vector<fleet::task_crashes>& records) {
    const auto received = m_crashes.receive(records, m_clock.now());
    if (received.has_news) {
        for (auto it = m_jobs.begin(); it != m_jobs.end();) {
            fail_if_proven(it++);
        }
    }
    return received.ignored;
}

const task_record* dispatcher::find_proven_task(const job_record& job) const {
    if (m_crashes.is_empty()) {
        return nullptr;
    }
    const auto it =
        std::find_if(job.tasks().begin(), job.tasks().end(), [&](const task_record& task) {
            return task.state != task_state::done && m_crashes.is_proven(task.crash_key);
        });
    return it == job.tasks().end() ? nullptr : &*it;
}

void dispatcher::fail_if_proven(job_list::iterator job) {
    if (const auto* task = find_proven_task(*job)) {
        close(job, crashed_outcome(*job, *task));
    }
}

work::outcome dispatcher::crashed_outcome(const job_record& job, const task_record& task) const {
    m_observer.job_event(job.job().id, "job_failed",
                         absl::StrCat(crashes_executors, ": step ", task.step, ", task ",
                                      task.index, ", ", m_crashes.crashes(task.crash_key),
                                      " crashes"));
    return {work::job_end::failed, crashes_executors, {}};
}

bool dispatcher::has_waiting_suspect(const job_record& job) const {
    return !m_crashes.is_empty() &&
           std::any_of(job.tasks().begin(), job.tasks().end(), [&](const task_record& task) {
               return task.state == task_state::waiting && m_crashes.is_suspect(task.crash_key);
           });
}

bool dispatcher::has_crashed_suspect(const job_record& job) const {
    const auto& executors = m_executor_manager.executors();
    return !m_crashes.is_empty() &&
           std::any_of(job.tasks().begin(), job.tasks().end(), [&](const task_record& task) {
               if (task.state != task_state::active || !m_crashes.is_suspect(task.crash_key)) {
                   return false;
               }
               const auto at = executors.find(task.executor);
               return at != executors.end() && at->second->has_crashed;
           });
}

void dispatcher::start_suspects(const std::vector<job_record*>& jobs) {
    for (auto* job : jobs) {
        if (!m_crash_risk.may_start(m_executor_manager.executors().size())) {
            return;
        }
        if (const auto* task = m_starter.start_suspect(*job)) {
            note_starts(*job, {task});
            m_crash_risk.note_start({job->id_of(*task), task->last_run_number}, task->executor);
        }
    }
}

bool dispatcher::give_up_late_suspect(job_list::iterator job) {
    if (!has_waiting_suspect(*job) && !has_crashed_suspect(*job)) {
        return false;
    }
    const auto now = m_clock.now();
    const auto start = m_crash_risk.next_start(m_executor_manager.executors().size(), now);
    const auto latest_end = std::min(job->late_until(), job->give_up_at());
    if (start <= latest_end - job->job().critical_path_length()) {
        return false;
    }
    give_up(job, refusal_cause::crash_risk, no_suspect_in_time);
    return true;
}

void dispatcher::end_probations(common::time_point now) {
    m_crash_risk.tick(now);
    m_crashes.forget_old(now);
    std::vector<work::run_key> survivors;
    for (const auto& [run, executor] : m_crash_risk.on_probation()) {
        const auto job = find(run.task.job);
        if (job == m_jobs.end()) {
            survivors.push_back(run); // told to stop
        } else if (m_executor_manager.has_outlasted_isolation(executor, run)) {
            m_crashes.note_survived(run.task);
            survivors.push_back(run);
        }
    }
    for (const auto& run : survivors) {
        m_crash_risk.note_end(run);
    }
}

} // namespace savorytrail::cell
