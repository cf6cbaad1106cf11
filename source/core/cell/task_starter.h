// Starts the waiting tasks of a job: chooses an executor for each, and sends the start order with
// the time after which the run counts as stuck.
#pragma once

#include <vector>

#include "core/cell/executor_manager.h"
#include "core/cell/interference.h"
#include "core/cell/job_record.h"
#include "core/cell/stopping_runs.h"

namespace savorytrail::cell {

class task_starter {
public:
    task_starter(const limits& by, const common::clock& clock, executor_manager& manager,
                 const stopping_runs& stopping, interference& neighbours)
        : m_limits(by), m_clock(clock), m_executor_manager(manager), m_stopping_runs(stopping),
          m_interference(neighbours) {}

    // Starts as many of the job's waiting tasks as there is room for now, and returns them.
    std::vector<const task_record*> start_waiting_tasks(job_record& job);

private:
    bool start(job_record& job, task_record& task);
    // An executor for the task, or nullptr.
    const std::string* choose_executor(const job_record& job, const task_record& task) const;
    common::milliseconds time_limit(const work::step& step, const task_record& task) const;

    const limits& m_limits;
    const common::clock& m_clock;
    executor_manager& m_executor_manager;
    const stopping_runs& m_stopping_runs;
    interference& m_interference;
};

} // namespace savorytrail::cell
