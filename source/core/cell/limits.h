// Timeouts, intervals and thresholds of a cell's dispatcher and executor manager.
#pragma once

#include <algorithm>

#include "core/common/clock.h"

namespace savorytrail::cell {

struct limits {
    // Lease requested by a start or a renewal. Shorter than the longest lease that executors grant,
    // and than what is left of a job's lease just before it is renewed: a task starts only if its
    // job may run for as long as any lease on its executor.
    common::milliseconds lease{680};
    // The runs of a job end within this time after its caller is last known to have waited. The
    // rest of the time after which callers resend a job is for noticing that they have left.
    common::milliseconds job_lease{975};
    // A job with less than this left of its lease is closed: its runs are then stopped before the
    // leases of other runs on their executors must be left to expire too.
    common::milliseconds stop_lead{240};
    // Time for the first renewal of the lease of a job that arrives without one.
    common::milliseconds first_renewal_timeout{500};
    common::milliseconds longest_lease{1000}; // executors grant no longer one
    // A lease is renewed when less than this is left of it.
    common::milliseconds renew_below{400};
    // Long-poll time of a report, which an executor delays until a run ends, while it has runs...
    common::milliseconds report_wait{270};
    // ...and while it has none.
    common::milliseconds idle_report_wait{1500};
    // Time on top of the long-poll time after which a report counts as missing.
    common::milliseconds report_slack{250};
    // Longer than the round trip to an executor: an order without an answer for this long may be
    // lost.
    common::milliseconds hedge_slack{30};
    // Time after which an order counts as unanswered.
    common::milliseconds order_timeout{150};
    // Interval of report requests to an unresponsive executor.
    common::milliseconds unresponsive_retry{400};
    // How long an executor that is to be released is kept for jobs that have begun in the cell.
    common::milliseconds release_grace{1500};
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
    // After a longer stall, nothing is renewed or started before what arrived meanwhile, such as
    // the disconnect of a caller, has been processed.
    common::milliseconds catch_up_after{160};
    // Whether placement keeps kinds of tasks apart that slow each other down.
    bool avoids_interference = true;
    // Whether a job that would be late here is returned to its entry if other cells may take it.
    bool returns_late_jobs = true;
    // Whether a report is requested beside one that may be lost, and a start order repeated before
    // it counts as unanswered.
    bool hedges_reports = true;
    bool repeats_starts_early = true;
    // Whether durations are predicted by those observed, or taken as callers estimate them.
    bool learns_durations = true;
    // Whether placement follows the speeds that executors have shown.
    bool places_by_speed = true;
    // Whether under overload a queue is limited to its fair share.
    bool shares_fairly = true;
    // Whether less urgent jobs wait while more urgent ones lack free capacity. Off: under lasting
    // overload the jobs that wait become late, which costs more than the urgent ones gain.
    bool reserves_capacity = false;
    // Whether placement and the published load value free capacity by what coming tasks can use.
    bool packs_by_value = true;
    // Late answers are of use to the caller up to this multiple of the objective.
    double late_factor = 3;

    bool operator==(const limits&) const = default;
};

// Returns limits for executors that grant leases of at most `longest_lease` and callers that resend
// a job after `resend`: by then, the runs of an entry that has failed, and of a job whose caller
// has left, must have ended.
inline limits limits_for(common::milliseconds longest_lease, common::milliseconds resend) {
    limits it;
    it.longest_lease = longest_lease;
    const auto lease = std::min(longest_lease * 4 / 5, resend * 17 / 32);
    if (lease < it.lease) {
        it.renew_below = it.renew_below * lease.count() / it.lease.count();
        it.report_wait = it.report_wait * lease.count() / it.lease.count();
        it.lease = lease;
    }
    it.job_lease = std::min(it.job_lease, resend * 3 / 4);
    it.stop_lead = std::min(it.stop_lead, it.job_lease / 4);
    it.first_renewal_timeout = std::min(it.first_renewal_timeout, it.job_lease / 2);
    return it;
}

} // namespace savorytrail::cell
