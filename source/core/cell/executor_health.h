// Tracks an executor's health by the results of its runs. An executor that fails several runs in a
// row, or has an overdue run, is quarantined; after that it is on probation, with one run at a
// time, until a run succeeds. Consecutive quarantines double in length, up to a maximum.
#pragma once

#include "core/cell/limits.h"

namespace savorytrail::cell {

class executor_health {
public:
    explicit executor_health(const limits& by) : m_limits(by) {}

    // `is_first`: the task has not failed before. Further failures of a task are attributed to its
    // job and not counted.
    void note_failure(bool is_first, common::time_point now);
    void note_overdue(common::time_point now) { quarantine(now); }
    void note_success();
    // The executor is slower than it usually is.
    void put_on_probation() { m_is_on_probation = true; }

    bool is_quarantined(common::time_point now) const { return now < m_quarantined_until; }
    bool is_on_probation() const { return m_is_on_probation; }
    // Whether another run may start beside `runs` current ones; free resources are not considered.
    bool admits(std::size_t runs, common::time_point now) const {
        return !is_quarantined(now) && (!m_is_on_probation || runs == 0);
    }

private:
    void quarantine(common::time_point now);

    const limits m_limits;
    int m_failures = 0; // in a row
    common::milliseconds m_next_quarantine = m_limits.initial_quarantine;
    common::time_point m_quarantined_until;
    bool m_is_on_probation = false;
};

} // namespace savorytrail::cell
