// Works on the jobs that a cell was given, on the executors that its desk holds: takes jobs in or
// refuses them, decides who goes first, starts tasks where there is room, starts lost or failed
// ones anew, and says the outcome once to everyone who waits. Used on one thread.
#pragma once

#include <list>
#include <memory>

#include "absl/container/flat_hash_map.h"
#include "core/cell/capacity_meter.h"
#include "core/cell/duration_model.h"
#include "core/cell/executor_manager.h"
#include "core/cell/fair_admission.h"
#include "core/cell/job_record.h"
#include "core/cell/ranking.h"

namespace savorytrail::cell {

// What a cell tells others of its load.
struct cell_load {
    std::int64_t capacity_cpu_millis = 0; // of executors that take work
    std::int64_t free_cpu_millis = 0;
    std::int64_t backlog_ms = 0; // how long the waiting work would occupy all of them

    bool operator==(const cell_load&) const = default;
};

class job_observer {
public:
    virtual ~job_observer() = default;
    virtual void job_event(const std::string& job, std::string_view event,
                           const std::string& detail) = 0;

protected:
    job_observer() = default;
    job_observer(const job_observer&) = default;
    job_observer& operator=(const job_observer&) = default;
};

class dispatcher final : public run_listener {
public:
    dispatcher(limits by, const common::clock& clock, executor_manager& manager,
               job_observer& observer);

    // `done` is called exactly once, maybe before this returns, unless the ticket is abandoned.
    std::uint64_t submit(const work::job& job, done_callback done);
    // Nobody waits at this ticket any more. A job without waiters is stopped.
    void abandon(std::uint64_t ticket);

    // To be called about every 50 ms: gives up what can't be answered any more.
    void tick();

    cell_load load() const;
    std::size_t open_jobs() const { return m_jobs.size(); }

    void on_run_ended(const work::run_key& run, const std::string& executor, run_result result,
                      work::order_status status) override;
    void on_suspended() override;
    void on_run_duration(const work::run_key& run, common::milliseconds took) override;
    void on_resources_freed() override;

private:
    using job_list = std::list<job_record>;

    job_list::iterator find(const std::string& id);
    void start_waiting_tasks(job_record& job);
    bool start(job_record& job, task_record& task);
    void close(job_list::iterator job, const work::outcome& outcome);
    void give_up(job_list::iterator job, const std::string& reason);
    void stop_runs(const job_record& job);
    void on_failure(job_list::iterator job, task_record& task);
    bool has_stopping_run(const work::task_id& task) const;
    std::optional<work::outcome> check_admission(const job_record& candidate);
    double waiting_cpu_demand() const;
    double effective_capacity() const;

    const limits m_limits;
    const common::clock& m_clock;
    executor_manager& m_executor_manager;
    job_observer& m_observer;
    job_list m_jobs;
    absl::flat_hash_map<std::string, job_list::iterator> m_by_id;
    // Runs of jobs that are closed, until the desk says that they are over: their tasks may not
    // start anew before.
    absl::flat_hash_map<work::task_id, int> m_stopping_runs;
    fair_admission m_fairness{fair_limits()};
    capacity_meter m_capacity_meter;
    duration_model m_durations;
    std::uint64_t m_next_ticket = 1;
    bool m_is_dispatching = false;
};

} // namespace savorytrail::cell
