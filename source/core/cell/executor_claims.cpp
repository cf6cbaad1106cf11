// The part of executor_manager that claims executors, and takes note of claims that are lost.
#include <algorithm>

#include "core/cell/executor_manager.h"

namespace savorytrail::cell {

using common::milliseconds;

void executor_manager::claim(executor_record& it) {
    set_state(it, claim_state::claiming);
    it.pending_reports.clear(); // a late answer to one of an earlier fence confirms nothing
    request_report(it, milliseconds(0));
}

void executor_manager::lose_claim(executor_record& it, std::string_view reason) {
    if (it.state == claim_state::lost) {
        return;
    }
    const auto now = m_clock.now();
    it.times_lost = now - it.lost_at < m_limits.reclaim_backoff_reset ? it.times_lost + 1 : 1;
    set_state(it, claim_state::lost);
    it.lost_at = now;
    m_observer.executor_changed(it.info.id, "executor_taken", reason);
}

void executor_manager::reclaim_if_due(executor_record& it) {
    if (it.state != claim_state::lost || it.is_retiring || it.is_adopted || !it.runs.empty()) {
        return;
    }
    const auto delay = m_limits.initial_reclaim_delay * (1 << std::min(it.times_lost - 1, 8));
    if (m_clock.now() - it.lost_at > std::min(delay, m_limits.max_reclaim_delay)) {
        it.fence = m_fences(claim_attempt::repeated);
        claim(it);
    }
}

void executor_manager::on_claim_rejected(executor_record& it) {
    it.fence = m_fences(claim_attempt::repeated);
    if (it.rejected_claims++ == 0) {
        // The holder before may have ended; one that lives takes it back, and then claims
        // alternate.
        claim(it);
        return;
    }
    it.next_report_request = m_clock.now() + m_limits.unresponsive_retry;
}

} // namespace savorytrail::cell
