// What a cell believes of one executor that it holds: its clock, the lease it last asked for, the
// runs that may be there, and the room they take. Data and small questions; the desk acts on it.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "core/cell/executor_clock.h"
#include "core/cell/executor_health.h"
#include "core/work/executor.h"

namespace savorytrail::cell {

enum class run_state {
    starting, // the order is out
    running,  // the executor has said so
    stopping, // told, or to be told, to stop
};

struct run_record {
    work::resources occupied;
    std::string payload;
    common::milliseconds time_limit{0}; // a run that takes longer is stuck
    run_state state = run_state::starting;
    common::time_point started_at;
    int starts_sent = 1;                            // starts sent; a repeat makes two
    common::time_point confirmed_at;                // meaningful in `running`
    std::optional<common::time_point> stop_sent_at; // latest
    std::optional<common::time_point>
        stop_acknowledged_at; // a start that comes later will be rejected
    bool is_wanted = true;    // somebody waits for its end
};

enum class claim_state {
    claiming, // this entry's fence is to be raised there, and others' runs are to be stopped
    held,     // only this entry's orders count there
    lost,     // another holder's fence is higher
};

struct pending_report {
    std::uint64_t number = 0;
    common::time_point sent_at;
    common::milliseconds wait{0};
};

struct executor_record {
    executor_record(work::executor_info its_info, const limits& by, std::int64_t its_fence)
        : info(std::move(its_info)), fence(its_fence), health(by) {}

    work::executor_info info;
    std::int64_t fence = 0;
    executor_health health;
    claim_state state = claim_state::claiming;
    bool is_retiring = false; // gets nothing new; let go when nothing of ours is left
    bool is_adopted = false;  // claimed on the belief that nobody uses it
    int times_lost = 0;       // how often others have taken it, of late
    executor_clock clock;
    std::int64_t start_time_ms = 0; // of the life last heard from
    std::int64_t acknowledged = 0;  // ends up to this one are noted
    std::int64_t lease_until = 0;   // on its clock: no run of ours outlives it
    std::map<work::run_key, run_record> runs;
    std::set<work::run_key> foreign_runs; // others' runs, by the latest report
    work::resources used;                 // by `runs`
    std::vector<pending_report> pending_reports;
    common::time_point next_report_request;       // not before
    common::time_point lost_at;                   // latest
    common::time_point resources_exhausted_until; // it rejected a start for want of room
    int missed_reports = 0;                       // reports in a row without an answer

    work::resources free() const { return info.capacity - used; }
    // Whether an answer is overdue, so that nothing may be renewed or started.
    bool is_unresponsive() const { return missed_reports > 0; }
    bool has_overdue_run(common::time_point now) const {
        for (const auto& [key, run] : runs) {
            if (run.state == run_state::running && now - run.started_at > run.time_limit) {
                return true;
            }
        }
        return false;
    }
    bool accepts_work(common::time_point now) const {
        return state == claim_state::held && !is_retiring && !info.is_draining &&
               !is_unresponsive() && clock.is_known() && now >= resources_exhausted_until &&
               health.admits(runs.size(), now) && !has_overdue_run(now);
    }
};

} // namespace savorytrail::cell
