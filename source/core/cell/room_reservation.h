// Keeps free capacity for tasks of more urgent priority levels. While such a level has recently
// found no free capacity, jobs of less urgent levels that have time left wait as long as their
// start would leave less than the more urgent levels are expected to need. Holds no clock: callers
// pass the time.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/cell/job_record.h"

namespace savorytrail::cell {

class room_reservation {
public:
    // Records an admitted job, for the expected need of its level.
    void add_job(const work::job& job, common::time_point now);
    // Records that a job which could have started found no free capacity.
    void note_shortage(int priority, common::time_point now);

    // Begins a pass over the waiting jobs: `free` and `capacity` in thousandths of a core.
    void begin_pass(double free, double capacity);
    // Records what a job of the level uses already.
    void add_use(int priority, double cpu_millis);
    // Records what has been started in this pass.
    void note_started(int priority, double cpu_millis);
    // Ends the pass. Outside of passes nothing is held back, as what is free is not known.
    void end_pass() { m_free.reset(); }

    // Whether jobs of some level may be held back now.
    bool has_contention(common::time_point now) const;
    // The level that the job has to wait for, if any. `cpu_millis`: of all its waiting tasks.
    std::optional<int> must_wait_for(const job_record& job, double cpu_millis,
                                     common::time_point now) const;

    // The levels with contention, the most urgent first.
    std::vector<int> contended_levels(common::time_point now) const;

private:
    struct level {
        int priority = 0;
        common::time_point at; // of the sum
        double work = 0;       // decaying sum over jobs, in thousandths of a core x ms
        double in_use = 0;     // thousandths of a core
        std::optional<common::time_point> shortage_at;
    };

    level* find(int priority);
    level& find_or_add(int priority, common::time_point now);
    // What the level is expected to need beyond what it uses now.
    double uncovered_need(const level& it, common::time_point now) const;
    static bool is_contended(const level& it, common::time_point now);

    std::vector<level> m_levels;  // sorted by priority, at most `max_levels`
    std::optional<double> m_free; // during a pass
    double m_capacity = 0;
};

} // namespace savorytrail::cell
