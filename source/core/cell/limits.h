// The times and thresholds of a cell's dispatcher.
#pragma once

#include <algorithm>

#include "core/common/clock.h"

namespace savorytrail::cell {

struct limits {
    // What a start or a renewal asks for. Below the longest lease that executors grant, and below
    // the time after which callers send a job again.
    common::milliseconds lease{800};
    common::milliseconds longest_lease{1000}; // that executors grant, whatever is asked for
    // A renewal is sent when less than this is left of the lease.
    common::milliseconds renew_below{450};
    // How long an executor may hold back its report, waiting for an end, while it runs something...
    common::milliseconds report_wait{300};
    // ...and while it runs nothing.
    common::milliseconds idle_report_wait{1500};
    // What is allowed on top of the wait until a report counts as missing.
    common::milliseconds report_slack{250};
    // Until an order counts as unanswered.
    common::milliseconds order_timeout{150};
    // Between questions to an executor that does not answer.
    common::milliseconds unresponsive_retry{400};
    // How long an executor takes at most to end a run that it was told to stop.
    common::milliseconds stop_time{50};
    // A run is taken for stuck after this many times its estimate, and the grace on top.
    double stuck_factor = 4;
    common::milliseconds stuck_grace{250};
    // Failures in a row, of different jobs, after which an executor is rested.
    int failures_to_quarantine = 2;
    common::milliseconds initial_quarantine{1500};
    common::milliseconds max_quarantine{6000};
    // After an executor was taken by another holder, before this one claims it again; doubles each
    // time it is taken again before that is forgotten.
    common::milliseconds initial_reclaim_delay{300};
    common::milliseconds max_reclaim_delay{3000};
    common::milliseconds reclaim_backoff_reset{10000};
    // The VM stood still for longer than this: others may have taken over meanwhile.
    common::milliseconds tolerated_suspension{100};
    // The same for a process that was kept from running while its clock went on.
    common::milliseconds tolerated_stall{600};
    // Late answers are worth something to the caller up to this many times the objective.
    double late_factor = 3;

    bool operator==(const limits&) const = default;
};

// Limits for executors that grant leases of at most `longest_lease` and callers that send a job
// again after `resend`: what an entry leaves behind must have ended by then.
inline limits limits_for(common::milliseconds longest_lease, common::milliseconds resend) {
    limits it;
    it.longest_lease = longest_lease;
    const auto lease = std::min(longest_lease * 4 / 5, resend * 5 / 8);
    if (lease < it.lease) {
        it.renew_below = it.renew_below * lease.count() / it.lease.count();
        it.report_wait = it.report_wait * lease.count() / it.lease.count();
        it.lease = lease;
    }
    return it;
}

} // namespace savorytrail::cell
