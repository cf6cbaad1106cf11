// Starts the waiting tasks of a job: chooses an executor for each, and sends the start order with
// the time after which the run counts as stuck.
#pragma once

#include <vector>

#include "core/cell/duration_model.h"
#include "core/cell/executor_manager.h"
#include "core/cell/executor_speed.h"
#include "core/cell/interference.h"
#include "core/cell/job_record.h"
#include "core/cell/packing.h"
#include "core/cell/stopping_runs.h"

namespace savorytrail::cell {

class task_starter {
public:
    task_starter(const limits& by, const common::clock& clock, executor_manager& manager,
                 const stopping_runs& stopping, const duration_model& durations,
                 const executor_speeds& speeds, const packing& values, interference& neighbours)
        : m_limits(by), m_clock(clock), m_executor_manager(manager), m_stopping_runs(stopping),
          m_durations(durations), m_speeds(speeds), m_packing(values), m_interference(neighbours) {}

    // To be called before the waiting jobs are gone through, the first ones first.
    void begin_round() { m_awaited.clear(); }
    // Starts as many of the job's waiting tasks as there is room for now, and returns them.
    std::vector<const task_record*> start_waiting_tasks(job_record& job);
    // Whether the failure domain of any executor lets the job start tasks.
    bool may_start_later(const job_record& job) const;

private:
    bool has_begun_in(const job_record& job, const std::string& domain) const;
    enum class attempt { started, no_room, held };

    attempt start(job_record& job, task_record& task);
    // An executor for the task; `held` if the task should rather wait for a faster one.
    std::pair<attempt, const std::string*> choose_executor(const job_record& job,
                                                           const task_record& task);
    common::milliseconds time_limit(const job_record& job, const task_record& task) const;

    const limits& m_limits;
    const common::clock& m_clock;
    executor_manager& m_executor_manager;
    const stopping_runs& m_stopping_runs;
    const duration_model& m_durations;
    const executor_speeds& m_speeds;
    // Executors that tasks of this round wait for, one each.
    std::vector<const std::string*> m_awaited;
    const packing& m_packing;
    interference& m_interference;
};

} // namespace savorytrail::cell
