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
    common::milliseconds limit{0}; // a run that takes longer is stuck
    run_state state = run_state::starting;
    common::time_point started;
    int orders = 1;                                // starts sent; a repeat makes two
    common::time_point confirmed;                  // meaningful in `running`
    std::optional<common::time_point> stop_sent;   // latest
    std::optional<common::time_point> stop_agreed; // a start that comes later will be rejected
    bool is_wanted = true;                         // somebody waits for its end
};

enum class claim_state {
    claiming, // this entry's fence is to be raised there, and others' runs are to be stopped
    held,     // only this entry's orders count there
    lost,     // another holder's fence is higher
};

struct pending_report {
    std::uint64_t number = 0;
    common::time_point sent;
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
    int takings = 0;          // how often others have taken it, of late
    executor_clock clock;
    std::int64_t start_time_ms = 0; // of the life last heard from
    std::int64_t acknowledged = 0;  // ends up to this one are noted
    std::int64_t lease_until = 0;   // on its clock: no run of ours outlives it
    std::map<work::run_key, run_record> runs;
    std::set<work::run_key> strangers; // others' runs, by the latest report
    work::resources used;              // by `runs`
    std::vector<pending_report> pending;
    common::time_point next_question; // not before
    common::time_point taken_at;      // latest
    common::time_point no_room_until; // it rejected a start for want of room
    int silences = 0;                 // reports in a row without an answer

    work::resources free() const { return info.capacity - used; }
    // Whether an answer is overdue, so that nothing may be renewed or started.
    bool is_doubtful() const { return silences > 0; }
    bool has_overdue(common::time_point now) const {
        for (const auto& [key, run] : runs) {
            if (run.state == run_state::running && now - run.started > run.limit) {
                return true;
            }
        }
        return false;
    }
    bool takes_work(common::time_point now) const {
        return state == claim_state::held && !is_retiring && !info.is_draining && !is_doubtful() &&
               clock.is_known() && now >= no_room_until && health.admits(runs.size(), now) &&
               !has_overdue(now);
    }
};

} // namespace savorytrail::cell
