// Whether an executor deserves work, judged by how its runs end. An executor that fails runs or
// takes far longer than others is rested; after that it is on probation, with one run at a time,
// until a run ends well. Each rest in a row is twice as long.
#pragma once

#include "core/cell/limits.h"

namespace savorytrail::cell {

class executor_health {
public:
    explicit executor_health(const limits& by) : m_limits(by) {}

    // `is_first` tells that the task had not failed elsewhere: otherwise the job is to blame.
    void note_failure(bool is_first, common::time_point now);
    void note_overdue(common::time_point now) { quarantine(now); }
    void note_success();

    bool is_quarantined(common::time_point now) const { return now < m_quarantined_until; }
    bool is_on_probation() const { return m_is_on_probation; }
    // How many runs it may have at once, besides what its room allows.
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
