// Timeouts, intervals and thresholds of a cell's dispatcher and executor manager.
#pragma once

#include <algorithm>

#include "core/common/clock.h"

namespace savorytrail::cell {

struct limits {
    // Lease requested by a start or a renewal. Shorter than the longest lease that executors grant
    // and than the time after which callers resend a job.
    common::milliseconds lease{800};
    common::milliseconds longest_lease{1000}; // executors grant no longer one
    // A lease is renewed when less than this is left of it.
    common::milliseconds renew_below{450};
    // Long-poll time of a report, which an executor delays until a run ends, while it has runs...
    common::milliseconds report_wait{300};
    // ...and while it has none.
    common::milliseconds idle_report_wait{1500};
    // Time on top of the long-poll time after which a report counts as missing.
    common::milliseconds report_slack{250};
    // Time after which an order counts as unanswered.
    common::milliseconds order_timeout{150};
    // Interval of report requests to an unresponsive executor.
    common::milliseconds unresponsive_retry{400};
    // A run counts as stuck after this multiple of its estimate plus the grace time.
    double stuck_factor = 4;
    common::milliseconds stuck_grace{250};
    // Number of consecutive failures, only the first of each task counted, after which an executor
    // is quarantined.
    int failures_to_quarantine = 2;
    common::milliseconds initial_quarantine{1500};
    common::milliseconds max_quarantine{6000};
    // Delay before claiming an executor again after another holder took it; doubles with each loss
    // that follows the previous one within the reset time.
    common::milliseconds initial_reclaim_delay{300};
    common::milliseconds max_reclaim_delay{3000};
    common::milliseconds reclaim_backoff_reset{10000};
    // After a longer suspension of the VM, other entries may have taken over its executors.
    common::milliseconds tolerated_suspension{100};
    // The same for a process that did not run while its clock went on.
    common::milliseconds tolerated_stall{600};
    // Late answers are of use to the caller up to this multiple of the objective.
    double late_factor = 3;

    bool operator==(const limits&) const = default;
};

// Returns limits for executors that grant leases of at most `longest_lease` and callers that resend
// a job after `resend`: by then, the runs of an entry that has failed must have ended.
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
