#include "core/cell/executor_health.h"

namespace savorytrail::cell {

void executor_health::note_failure(bool is_first, common::time_point now) {
    if (!is_first) {
        return;
    }
    m_failures++;
    if (m_is_on_probation || m_failures >= m_limits.failures_to_quarantine) {
        quarantine(now);
    }
}

void executor_health::note_success() {
    m_failures = 0;
    m_is_on_probation = false;
    m_next_quarantine = m_limits.initial_quarantine;
}

void executor_health::quarantine(common::time_point now) {
    if (is_quarantined(now)) {
        return; // several failed runs of one incident count once
    }
    m_failures = 0;
    m_is_on_probation = true;
    m_quarantined_until = now + m_next_quarantine;
    m_next_quarantine = std::min(2 * m_next_quarantine, m_limits.max_quarantine);
}

} // namespace savorytrail::cell
