#include "core/cell/stopping_runs.h"

namespace savorytrail::cell {

void stopping_runs::add(const work::task_id& task, common::time_point now) {
    m_runs[task]++;
    m_jobs.try_emplace(task.job, job_state{now}).first->second.runs++;
}

std::optional<stopped_job> stopping_runs::remove(const work::task_id& task, run_result result,
                                                 common::time_point now) {
    if (const auto runs = m_runs.find(task); --runs->second == 0) {
        m_runs.erase(runs);
    }
    const auto found = m_jobs.find(task.job);
    if (found == m_jobs.end()) {
        return std::nullopt;
    }
    auto& it = found->second;
    const bool ended_by_itself = result == run_result::done || result == run_result::failed;
    (ended_by_itself ? it.done : it.stopped)++;
    if (--it.runs > 0) {
        return std::nullopt;
    }
    const stopped_job summary{std::chrono::duration_cast<common::milliseconds>(now - it.closed_at),
                              it.stopped, it.done};
    m_jobs.erase(found);
    return summary;
}

} // namespace savorytrail::cell
