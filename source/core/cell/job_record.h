// A job that a cell works on: which tasks wait, run and are done, who waits for the answer, and by
// when it is worth how much.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/cell/limits.h"
#include "core/work/executor.h"
#include "core/work/job.h"

namespace savorytrail::cell {

using done_callback = std::function<void(const work::outcome&)>;

enum class task_state { blocked, waiting, active, done };

struct task_record {
    int step = 0;
    int index = 0;
    task_state state = task_state::blocked;
    int failures = 0;
    int lost_runs = 0;                // runs that were stopped as stuck
    std::int64_t last_run_number = 0; // of its latest run
    std::string executor;             // of the active run
    std::string avoid;                // where it failed last
};

struct waiter {
    std::uint64_t ticket = 0;
    done_callback done;
};

class job_record {
public:
    // `told`: the job as its caller sent it; `job`: with what its tasks are believed to take.
    job_record(work::job job, const work::job& submitted, const limits& by, common::time_point now);
    job_record(const work::job& job, const limits& by, common::time_point now)
        : job_record(job, job, by, now) {}

    const work::job& job() const { return m_job; }
    // As its caller said.
    common::milliseconds caller_estimate(int step) const { return m_caller_estimates.at(step); }
    std::vector<task_record>& tasks() { return m_tasks; }
    const std::vector<task_record>& tasks() const { return m_tasks; }
    const work::step& step_of(const task_record& it) const { return m_job.steps.at(it.step); }
    work::task_id id_of(const task_record& it) const { return {m_job.id, 0, it.step, it.index}; }

    // Steps whose predecessors are all done have their tasks wait for an executor.
    void unblock();
    bool is_done() const { return m_done == m_tasks.size(); }
    bool has_waiting() const { return m_waiting > 0; }
    std::size_t waiting() const { return m_waiting; }

    void set_state(task_record& it, task_state state);

    // An order left that may start a task; `retract` when it certainly did not.
    void note_start() { m_possible_starts++; }
    void retract_start() { m_possible_starts--; }
    bool may_have_run() const { return m_possible_starts > 0; }

    common::time_point arrived() const { return m_arrived; }
    common::time_point on_time_until() const { return m_on_time_until; }
    common::time_point late_until() const { return m_late_until; }
    common::time_point give_up_at() const { return m_give_up_at; }
    // Estimated processor time of the tasks that wait or are blocked.
    double waiting_cpu_demand() const;

    std::vector<waiter> waiters; // never empty while the job is open

private:
    work::job m_job;
    std::vector<common::milliseconds> m_caller_estimates; // by step
    std::vector<task_record> m_tasks;
    std::size_t m_done = 0;
    std::size_t m_waiting = 0;
    int m_possible_starts = 0;
    common::time_point m_arrived;
    common::time_point m_on_time_until;
    common::time_point m_late_until;
    common::time_point m_give_up_at;
};

} // namespace savorytrail::cell
