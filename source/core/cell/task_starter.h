// Starts the waiting tasks of a job: chooses an executor for each, and sends the start order with
// the time after which the run counts as stuck.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/cell/crash_history.h"
#include "core/cell/duration_model.h"
#include "core/cell/executor_manager.h"
#include "core/cell/executor_speed.h"
#include "core/cell/interference.h"
#include "core/cell/job_record.h"
#include "core/cell/packing.h"
#include "core/cell/placement.h"
#include "core/cell/stopping_runs.h"

namespace savorytrail::cell {

// A waiting task, and where it would be started.
struct planned_task {
    int step = 0;
    int index = 0;
    std::string executor; // empty if none can take it now
    std::string awaited;  // it would rather wait for this faster one
    // That can take it, the best ones first; the first one is chosen unless it waits.
    std::vector<placement_option> options;
    std::size_t executors_that_can = 0;
    // Executors that cannot, and why; for the first task of a step only.
    std::map<std::string, std::vector<std::string_view>> left_out;
};

// A copy of executors, on which starts are assumed without any order being sent.
struct start_plan {
    executor_map executors;
    packing values;
    std::map<std::string, std::vector<kind_key>> kinds; // of the assumed runs, by executor
    std::vector<const std::string*> awaited;
};

class task_starter {
public:
    task_starter(const limits& by, const common::clock& clock, executor_manager& manager,
                 const stopping_runs& stopping, const duration_model& durations,
                 const executor_speeds& speeds, const packing& values, interference& neighbours,
                 const crash_history& crashes)
        : m_limits(by), m_clock(clock), m_executor_manager(manager), m_stopping_runs(stopping),
          m_durations(durations), m_speeds(speeds), m_packing(values), m_interference(neighbours),
          m_crashes(crashes) {}

    // To be called before the waiting jobs are gone through, the first ones first.
    void begin_round() { m_awaited.clear(); }
    // Starts as many of the job's waiting tasks as there is room for now, and returns them;
    // suspects of crashes are left out.
    std::vector<const task_record*> start_waiting_tasks(job_record& job);
    // Starts one waiting task of the job that is suspected of crashes, on an executor without runs;
    // returns nullptr if there is none.
    const task_record* start_suspect(job_record& job);
    // start_waiting_tasks() on a plan: changes only the plan and the job, which is to be a copy.
    // Lists options only for jobs `with_options`.
    std::vector<planned_task> plan_waiting_tasks(job_record& job, start_plan& plan,
                                                 bool with_options) const;
    // Whether any waiting task of the job fits an executor whose failure domain lets it start.
    bool may_start_later(const job_record& job) const;

private:
    bool has_begun_in(const job_record& job, const std::string& domain) const;
    enum class attempt { started, no_room, held };

    bool is_suspect(const task_record& task) const;
    // `isolated_for`: see run_plan.
    attempt start(job_record& job, task_record& task, common::milliseconds isolated_for);
    // Calls start(task) for the job's waiting tasks while there is room.
    template <typename Start>
    static void for_each_waiting(job_record& job, const Start& start);
    // An executor for the task; `held` if the task should rather wait for a faster one, which is
    // then added to `awaited`.
    std::pair<attempt, const std::string*>
    choose_executor(const placement_request& request, const executor_map& executors,
                    std::vector<const std::string*>& awaited) const;
    // `plan`: nullptr for the cell as it is. The request refers to the job and the task.
    placement_request request_for(const job_record& job, const task_record& task,
                                  const start_plan* plan) const;
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
    const crash_history& m_crashes;
};

} // namespace savorytrail::cell
