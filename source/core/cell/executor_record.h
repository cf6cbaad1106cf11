// A cell's state of one executor: claim, clock, lease, the runs that may exist there and the
// resources they occupy. Modified by executor_manager only.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/cell/executor_clock.h"
#include "core/cell/executor_health.h"
#include "core/work/executor.h"

namespace savorytrail::cell {

enum class run_state {
    starting, // the start order is unanswered
    running,  // confirmed by the executor
    stopping, // a stop order was sent, or waits to be sent
};

struct run_record {
    work::resources occupied;
    std::string payload;
    common::milliseconds time_limit{0}; // a run that takes longer is considered stuck
    common::milliseconds expected{0};   // duration on this executor; 0 when unknown
    run_state state = run_state::starting;
    common::time_point started_at;
    std::int64_t process = 0; // the executor's process that it was to start on, as `start_time_ms`
    int starts_sent = 1;      // 2 after a resend
    int starts_unanswered = 0;
    // The process whose clock is known has confirmed its only start order, so that no other process
    // of the executor can have it.
    bool is_of_known_process = false;
    common::time_point confirmed_at;                      // valid in state `running`
    std::optional<common::time_point> stop_sent_at;       // latest
    std::optional<common::time_point> stop_first_sent_at; // for the log
    bool is_stop_logged_as_unanswered = false;
    bool is_end_asked_for = false; // by a report requested beside the pending one
    // Set when its job has ended: no lease is granted on the executor beyond this time.
    std::optional<common::time_point> ends_by;
    std::optional<common::time_point> stop_acknowledged_at; // later start orders are rejected
    // Until when nothing is started beside it. It was alone there when it started.
    std::optional<common::time_point> isolated_until;
};

enum class claim_state {
    claiming, // raising the fence there and stopping runs of other holders
    held,     // the executor accepts orders of this entry only
    lost,     // another entry has a higher fence, or uses an executor that was to be adopted
};

struct pending_report {
    std::uint64_t number = 0;
    common::time_point sent_at;
    common::milliseconds wait{0};
};

// Why an executor takes no new run, whatever the task.
enum class work_obstacle : std::uint8_t {
    none,
    not_claimed,
    retiring,      // released by this entry, or its platform removes it
    unresponsive,  // reports are missing, or none has arrived yet
    other_process, // listed as another process than the one that answers
    rejected_start,
    foreign_runs, // runs of other holders
    quarantined,
    on_probation, // takes one run at a time, and has one
    overdue_run,
    isolated_run, // nothing may start beside a run there
    lease_ends,   // a run there has to end by the expiry of the lease
};

struct executor_record {
    executor_record(work::executor_info its_info, const limits& by, std::int64_t its_fence)
        : info(std::move(its_info)), fence(its_fence), health(by),
          min_lease_of_start(by.stop_lead) {}

    work::executor_info info;
    std::int64_t fence = 0;
    executor_health health;
    common::milliseconds min_lease_of_start; // nothing starts on a lease that must end sooner
    claim_state state = claim_state::claiming;
    bool is_retiring = false; // takes no job that has not begun; released when it is not needed
    common::time_point retiring_since;   // valid if `is_retiring`
    bool is_kept_for_begun_jobs = false; // though it is retiring
    bool is_drained = false; // as is its failure domain: takes no job that has not begun
    common::time_point drain_grace_until; // until when jobs that have begun may start tasks there
    common::time_point cold_until;        // until when it is slow after a start
    bool is_adopted = false; // claimed on the assumption that its holder has abandoned it
    int times_lost = 0;      // claims lost in a row, each soon after the last
    int rejected_claims = 0; // in a row, since it was held
    executor_clock clock;
    std::int64_t start_time_ms = 0; // of the executor process that sent the latest report
    std::int64_t acknowledged = 0;  // sequence number of the latest ended run that was processed
    std::int64_t lease_until = 0;   // on its clock; no run of this entry outlives it
    // When the lease was last granted, and whether the process that it was computed for has
    // answered since. A process that has restarted unnoticed reads the lease by another clock.
    common::time_point granted_at;
    bool is_grant_confirmed = false;
    std::map<work::run_key, run_record> runs;
    std::set<work::run_key> foreign_runs; // runs of other holders, by the latest report
    work::resources used;                 // total of `runs`
    // Invariant: all were requested under `fence`.
    std::vector<pending_report> pending_reports;
    common::time_point next_report_request;       // earliest time
    common::time_point lost_at;                   // latest
    common::time_point resources_exhausted_until; // no starts until then, after a rejection
    int missed_reports = 0;                       // in a row
    // When a connection broke; unset when the executor answers again.
    std::optional<common::time_point> connection_lost_at;
    bool has_crashed = false; // its process has ended, and none has answered since
    // When the latest report arrived, and when the newest that was answered had been requested.
    std::optional<common::time_point> reported_at;
    common::time_point answered_request_at;

    work::resources free() const { return info.capacity - used; }
    bool is_cold(common::time_point now) const { return now < cold_until; }
    // Whether this entry is to use it on.
    bool is_kept() const { return !is_retiring && state != claim_state::lost; }
    // Whether jobs that have begun in its drained failure domain may still start tasks there.
    bool is_in_drain_grace(common::time_point now) const {
        return is_drained && now < drain_grace_until;
    }
    // While reports are missing, no lease is renewed and nothing is started.
    bool is_unresponsive() const { return missed_reports > 0; }
    // The list tells of another process than the one that answers, which may have other labels and
    // another capacity.
    bool is_listed_as_other_process() const {
        return info.start_time_ms != 0 && start_time_ms != 0 && info.start_time_ms != start_time_ms;
    }
    bool has_overdue_run(common::time_point now) const {
        for (const auto& [key, run] : runs) {
            if (run.state == run_state::running && now - run.started_at > run.time_limit) {
                return true;
            }
        }
        return false;
    }
    bool has_isolated_run(common::time_point now) const {
        return std::any_of(runs.begin(), runs.end(), [now](const auto& it) {
            return it.second.isolated_until && now < *it.second.isolated_until;
        });
    }
    // Whether a run there may go on, so that the lease is worth renewing.
    bool has_ongoing_run() const {
        return std::any_of(runs.begin(), runs.end(),
                           [](const auto& it) { return !it.second.ends_by; });
    }
    // Whether a run there has to end by `time`, if necessary by the expiry of the lease.
    bool has_run_ending_by(common::time_point time) const {
        return std::any_of(runs.begin(), runs.end(), [time](const auto& it) {
            return it.second.ends_by && *it.second.ends_by < time;
        });
    }
    // What rules out any start order, also the repeat of one that was not answered.
    work_obstacle obstacle_to_orders() const {
        if (state != claim_state::held) {
            return work_obstacle::not_claimed;
        }
        if ((is_retiring && !is_kept_for_begun_jobs) || info.is_draining) {
            return work_obstacle::retiring;
        }
        if (is_unresponsive() || !clock.is_known()) {
            return work_obstacle::unresponsive;
        }
        if (is_listed_as_other_process()) {
            return work_obstacle::other_process;
        }
        return work_obstacle::none;
    }
    // What rules out a new run.
    work_obstacle obstacle_to_work(common::time_point now) const {
        if (const auto it = obstacle_to_orders(); it != work_obstacle::none) {
            return it;
        }
        if (now < resources_exhausted_until) {
            return work_obstacle::rejected_start;
        }
        if (!foreign_runs.empty()) {
            return work_obstacle::foreign_runs;
        }
        if (!health.admits(runs.size(), now)) {
            return health.is_quarantined(now) ? work_obstacle::quarantined
                                              : work_obstacle::on_probation;
        }
        if (has_overdue_run(now)) {
            return work_obstacle::overdue_run;
        }
        if (has_isolated_run(now)) {
            return work_obstacle::isolated_run;
        }
        return has_run_ending_by(now + min_lease_of_start) ? work_obstacle::lease_ends
                                                           : work_obstacle::none;
    }
    bool accepts_work(common::time_point now) const {
        return obstacle_to_work(now) == work_obstacle::none;
    }
};

// By id.
using executor_map = std::map<std::string, std::unique_ptr<executor_record>>;

} // namespace savorytrail::cell
