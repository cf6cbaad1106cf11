// An open job of a cell: the state of its tasks, the waiters for its outcome, and the times until
// which the answer is on time, late or useless.
#pragma once

#include <functional>
#include <optional>
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
    int lost_runs = 0;                // each doubles the time limit of the next run, up to 16 times
    std::int64_t last_run_number = 0; // number of the latest run
    std::uint64_t crash_key = 0;      // crash_key_of() it
    std::string executor;             // of the active run
    std::string avoid;                // executor of the last failed, lost or refused run
    // It waits though it could start: it would be late there, or executors have crashed under it.
    // While it waits, capacity is free, so that its wait says nothing about contention or
    // utilization.
    bool is_withheld = false;
};

// Somebody who waits for a job's outcome: a caller of this entry, or another entry that forwarded
// the job and holds its caller's connection.
struct waiter {
    std::uint64_t ticket = 0;
    done_callback done;
    // Until when the job may go on for this waiter, as far as is known: the end of its lease, or
    // forever for a caller of this entry.
    common::time_point held_until = common::time_point::max();
    // When to remove the waiter unless its lease has been renewed.
    common::time_point remove_at = common::time_point::max();
};

// A job that could have started waits for jobs of a more urgent level (see room_reservation).
struct hold {
    common::time_point since;
    int for_priority = 0;
    bool is_in_force = true; // false while it only waits for an executor
};

class job_record {
public:
    // `submitted` is the job as its caller sent it; `job` has predicted durations as estimates.
    job_record(work::job job, const work::job& submitted, const limits& by, common::time_point now);
    job_record(const work::job& job, const limits& by, common::time_point now)
        : job_record(job, job, by, now) {}

    const work::job& job() const { return m_job; }
    // The estimate that the caller sent.
    common::milliseconds caller_estimate(int step) const { return m_caller_estimates.at(step); }
    std::vector<task_record>& tasks() { return m_tasks; }
    const std::vector<task_record>& tasks() const { return m_tasks; }
    const work::step& step_of(const task_record& it) const { return m_job.steps.at(it.step); }
    work::task_id id_of(const task_record& it) const { return {m_job.id, 0, it.step, it.index}; }

    // Makes the tasks of steps whose dependencies are all done wait for executors.
    void unblock();
    bool is_done() const { return m_done == m_tasks.size(); }
    bool has_waiting() const { return m_waiting > 0; }
    std::size_t waiting() const { return m_waiting; }
    // Of its tasks in state `active` or `waiting`, in thousandths of a core.
    double active_cpu_millis() const { return m_active_cpu_millis; }
    double waiting_cpu_millis() const { return m_waiting_cpu_millis; }

    void set_state(task_record& it, task_state state);

    // Counts start orders that may have started a task; retract_start() is called when one
    // certainly did not.
    void note_start() { m_possible_starts++; }
    void retract_start() { m_possible_starts--; }
    bool may_have_run() const { return m_possible_starts > 0; }

    common::time_point arrived() const { return m_arrived; }
    common::time_point on_time_until() const { return m_on_time_until; }
    common::time_point late_until() const { return m_late_until; }
    common::time_point give_up_at() const { return m_give_up_at; }
    // Estimated CPU time of the waiting and blocked tasks.
    double waiting_cpu_demand() const;
    // No run of the job goes on for longer. A lease of any waiter is enough.
    common::time_point held_until() const;

    std::vector<waiter> waiters; // never empty while the job is open
    // Set from when it is first held back for more urgent jobs until it starts.
    std::optional<hold> held_back;
    bool is_held_back() const { return held_back && held_back->is_in_force; }

private:
    work::job m_job;
    std::vector<common::milliseconds> m_caller_estimates; // by step
    std::vector<task_record> m_tasks;
    std::size_t m_done = 0;
    std::size_t m_waiting = 0;
    double m_active_cpu_millis = 0;
    double m_waiting_cpu_millis = 0;
    int m_possible_starts = 0;
    common::time_point m_arrived;
    common::time_point m_on_time_until;
    common::time_point m_late_until;
    common::time_point m_give_up_at;
};

} // namespace savorytrail::cell
