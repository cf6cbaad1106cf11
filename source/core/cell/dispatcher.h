// Schedules a cell's jobs on the executors that its executor manager holds: admits or refuses jobs,
// ranks them, starts tasks where resources are free, restarts lost and failed tasks, and reports
// the outcome exactly once to every waiter. Not thread-safe.
#pragma once

#include <list>
#include <memory>

#include "absl/container/flat_hash_map.h"
#include "core/cell/admission.h"
#include "core/cell/capacity_meter.h"
#include "core/cell/cell_load.h"
#include "core/cell/crash_history.h"
#include "core/cell/crash_risk.h"
#include "core/cell/duration_model.h"
#include "core/cell/executor_manager.h"
#include "core/cell/executor_speed.h"
#include "core/cell/interference.h"
#include "core/cell/job_record.h"
#include "core/cell/packing.h"
#include "core/cell/ranking.h"
#include "core/cell/room_reservation.h"
#include "core/cell/stopping_runs.h"
#include "core/cell/task_starter.h"

namespace savorytrail::cell {

// What would become of a job if it were submitted now.
struct placement_explanation {
    urgency group = urgency::on_time;
    double rank_order = 0;         // of jobs of one urgency the lowest goes first
    common::milliseconds slack{0}; // until its latest start to be on time
    // Until when the answer is on time, late, and wanted by the caller.
    common::milliseconds on_time_for{0};
    common::milliseconds late_for{0};
    common::milliseconds wanted_for{0};
    std::size_t jobs_ahead = 0; // that wait and go first
    admission_view view;
    job_room room;
    std::optional<refusal> refused;   // the rest is then as if it were admitted
    std::optional<int> held_back_for; // a priority level
    // This process did not run just before, and starts nothing before it has caught up.
    bool are_starts_paused = false;
    std::vector<planned_task> tasks; // of the steps that depend on no others
};

class job_observer {
public:
    virtual ~job_observer() = default;
    virtual void job_event(const std::string& job, std::string_view event,
                           const std::string& detail) = 0;
    // For the counters; job_event() reports the refusal itself.
    virtual void count_refusal(refusal_cause) {}
    // For the counters; job_event() reports the lost run itself.
    virtual void count_lost_run(loss_cause) {}
    // All runs of a job that were open when the job was closed have ended, the last one this long
    // after.
    virtual void runs_stopped(common::milliseconds) {}
    // A job that was held back for jobs of level `for_priority` has started, or was closed.
    virtual void hold_ended(int /*for_priority*/, common::milliseconds) {}
    // Jobs of this level have recently found no free capacity, or no longer.
    virtual void contention_changed(int /*priority*/, bool /*is_on*/) {}
    virtual void interference_changed(const pair_change&) {}

protected:
    job_observer() = default;
    job_observer(const job_observer&) = default;
    job_observer& operator=(const job_observer&) = default;
};

class dispatcher final : public run_listener {
public:
    dispatcher(limits by, const common::clock& clock, executor_manager& manager,
               job_observer& observer);

    // Submits a job of a caller of this entry and returns a ticket for abandon(). `done` is called
    // exactly once, possibly before this returns, unless the ticket is abandoned first. A job that
    // is open already is joined, not run twice.
    std::uint64_t submit(const work::job& job, done_callback done);
    // The same for a job that another entry holds the caller of. Its tasks run only until the end
    // of the lease that this entry has granted, so that none is left when the caller, disconnected
    // from that entry, has resent the job to a third one. The lease may have ended already: then
    // nothing starts before it is renewed.
    std::uint64_t submit_leased(const work::job& job, common::time_point held_until,
                                done_callback done);
    // What submit() would do with the job, by the same code, without changing anything. Takes
    // copies of the executors' state and of the jobs that go first, so it is for operators only.
    placement_explanation explain(const work::job& job) const;
    // Extends the lease of a ticket of submit_leased() for this job; never shortens it.
    void renew(const std::string& job, std::uint64_t ticket, common::time_point held_until);
    // Removes the ticket's waiter. A job without waiters is stopped.
    void abandon(std::uint64_t ticket);

    // What this cell knows of tasks that crash executors, and what other cells tell of it. Returns
    // how many of the records were ignored.
    const crash_history& crashes() const { return m_crashes; }
    std::size_t learn_crashes(const std::vector<fleet::task_crashes>& records);

    // Gives up jobs that cannot be answered in time, and waiters whose lease is about to end; call
    // about every 50 ms.
    void tick();

    cell_load load() const;
    executor_speeds& speeds() { return m_speeds; }
    const executor_speeds& speeds() const { return m_speeds; }
    std::size_t open_jobs() const { return m_jobs.size(); }
    interference& task_interference() { return m_interference; }
    const interference& task_interference() const { return m_interference; }

    void on_run_ended(const work::run_key& run, const std::string& executor,
                      const run_outcome& outcome) override;
    void on_executor_crashed(const executor_crash& it) override;
    void on_crash_refuted(const std::string& executor, std::int64_t start_time_ms) override;
    void on_suspended() override;
    void on_run_duration(const work::run_key& run, const work::executor_info& executor,
                         common::milliseconds took) override;
    void on_resources_freed() override;
    common::time_point may_run_until(const work::run_key& run) const override;
    std::set<std::string> executors_for_begun_jobs() const override;

private:
    using job_list = std::list<job_record>;

    job_list::iterator find(const std::string& id);
    job_record make_record(const work::job& job) const;
    std::uint64_t add(const work::job& job, waiter first);
    // For those who sent a job before the attempt that it goes on for.
    static work::outcome outcome_of_replaced();
    waiter make_leased_waiter(common::time_point held_until, done_callback done) const;
    common::time_point removal_time(common::time_point held_until) const;
    // Returns whether the job was closed, as no waiter is left.
    bool remove_unrenewed_waiters(job_list::iterator job, common::time_point now);
    bool may_start(const job_record& job) const;
    // A caller has one attempt at a time. So once a later attempt is known to be live, the earlier
    // ones have ended, even if nothing has shown so, and must not keep the job running.
    void remove_earlier_waiters(job_record& job, std::uint64_t ticket);
    void note_starts(const job_record& job, const std::vector<const task_record*>& started);
    // `free`: the cell's load without the jobs.
    void begin_reservation_pass(room_reservation& reservation, const cell_load& free) const;
    // Whether the job leaves free capacity to more urgent ones; records it.
    bool is_held_back(job_record& job, common::time_point now);
    void end_hold(job_record& job);
    // Whether a waiting task of the job would fit an executor that had nothing to do.
    bool lacks_only_free_capacity(const job_record& job) const;
    void note_contention(common::time_point now);
    // Runs of the job end by `runs_end_by` at the latest.
    void close(job_list::iterator job, const work::outcome& outcome,
               common::time_point runs_end_by);
    void close(job_list::iterator job, const work::outcome& outcome);
    // By when the runs of a job that is closed now must have ended.
    common::time_point end_of_runs(const job_record& job) const;
    // Closes a job whose waiting tasks can't start here, as all executors that could run them are
    // in drained domains. Returns whether it was closed.
    bool leave_drained(job_list::iterator job);
    void give_up(job_list::iterator job, refusal_cause cause, const std::string& reason);
    work::outcome given_up_outcome(const job_record& job, refusal_cause cause,
                                   const std::string& reason) const;
    std::optional<common::milliseconds> capacity_age() const;
    void stop_runs(const job_record& job, common::time_point runs_end_by);
    void note_stopped_run(const work::task_id& task, run_result result);
    void on_failure(job_list::iterator job, task_record& task);
    void on_lost(job_record& job, task_record& task, loss_cause cause);
    // A task of the job that must not be started any more; nullptr if there is none.
    const task_record* find_proven_task(const job_record& job) const;
    // Closes the job if one of its tasks is proven to crash executors.
    void fail_if_proven(job_list::iterator job);
    work::outcome crashed_outcome(const job_record& job, const task_record& task) const;
    bool has_waiting_suspect(const job_record& job) const;
    // Whether the executor of a suspect's run has crashed, and the run has not ended for certain.
    bool has_crashed_suspect(const job_record& job) const;
    // Starts suspects of these jobs, the first ones first, while executors may be put at risk.
    void start_suspects(const std::vector<job_record*>& jobs);
    // Closes a job whose suspect can't start in time. Returns whether it was closed.
    bool give_up_late_suspect(job_list::iterator job);
    void end_probations(common::time_point now);
    // Whether tasks wait only because too few cores are free, so that the executors' utilization
    // shows how far they can be used.
    bool is_waiting_for_cores(const job_record& job) const;
    // Whether the job is expected to end after its objective, behind the jobs that go first.
    bool would_be_late(const job_record& candidate) const;
    // The outcome of a job that is returned on arrival; nullopt if it is not.
    std::optional<work::outcome> return_if_late_here(const job_record& candidate,
                                                     const admission_view& view);
    // Closes a waiting job that is late now and that other cells may take. Returns whether it was
    // closed.
    bool return_late_job(job_list::iterator job);
    // Returns jobs that have not run and that no executor here takes any more: another cell may.
    void return_stranded_jobs(bool has_capacity, common::time_point now);
    admission_view view_for(const job_record& candidate) const;
    job_room room_of(const job_record& job) const;
    common::milliseconds retry_after() const;
    static void note_task_sizes(const work::job& job, double& typical_cpu_millis, packing& values);
    void note_executors();
    void note_pace(const work::executor_info& executor, executor_speeds::change change);
    void note_interference(const std::vector<pair_change>& changes);
    double waiting_cpu_demand() const;
    double effective_capacity() const;
    cell_load own_load() const; // without the backlog, and with what is held back still free
    // Whether the job is held back and would fit what is free. Such jobs count as if they ran: only
    // the reservation keeps them waiting, and neither callers nor other entries are to take the
    // cell for full. `free_left` is what earlier calls of the same loop have left.
    bool counts_as_started(const job_record& job, std::optional<double>& free_left) const;

    const limits m_limits;
    const common::clock& m_clock;
    executor_manager& m_executor_manager;
    job_observer& m_observer;
    job_list m_jobs;
    absl::flat_hash_map<std::string, job_list::iterator> m_by_id;
    stopping_runs m_stopping_runs;
    duration_model m_durations; // for speed 1
    executor_speeds m_speeds;
    std::uint64_t m_known_claims = 0; // version of the executors that m_speeds knows
    packing m_packing;
    room_reservation m_reservation;
    std::vector<int> m_contended_levels; // as last told to the observer
    interference m_interference;
    crash_history m_crashes;
    crash_risk m_crash_risk;
    task_starter m_starter{m_limits, m_clock,   m_executor_manager, m_stopping_runs, m_durations,
                           m_speeds, m_packing, m_interference,     m_crashes};
    admission m_admission{fair_limits(m_limits.shares_fairly)};
    capacity_meter m_capacity_meter;
    common::time_point m_had_capacity_at;
    double m_typical_task_cpu_millis = 0; // of recent jobs; 0 before the first
    std::uint64_t m_next_ticket = 1;
    bool m_is_dispatching = false;
};

} // namespace savorytrail::cell
