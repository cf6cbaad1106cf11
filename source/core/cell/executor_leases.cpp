// The part of executor_manager that works out the leases of runs: until when one may be granted,
// and when one has certainly ended.
#include <algorithm>

#include "core/cell/executor_manager.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

// A run counts as expired this long after its lease's end by the estimate of the executor's clock.
constexpr std::int64_t lease_end_margin_ms = 30;
// Differences between the clocks' rates while an order is under way.
constexpr std::int64_t clock_reading_margin_ms = 2;

} // namespace

common::time_point executor_manager::all_may_run_until(const executor_record& it) const {
    auto earliest = common::time_point::max();
    for (const auto& [key, run] : it.runs) {
        earliest = std::min(earliest, run.ends_by ? *run.ends_by : m_listener->may_run_until(key));
    }
    return earliest;
}

std::int64_t executor_manager::next_lease_end(const executor_record& it) const {
    const auto now = m_clock.now();
    const auto full = it.clock.estimate(now) + m_limits.lease.count();
    const auto limit = all_may_run_until(it);
    if (limit >= now + m_limits.longest_lease) {
        return full;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(std::max(limit, now) - now);
    return std::min(full, it.clock.end_of_lease(now, left));
}

void executor_manager::note_grant(executor_record& it, std::int64_t until) const {
    it.lease_until = std::max(it.lease_until, until);
    it.granted_at = m_clock.now();
    it.is_grant_confirmed = false;
}

bool executor_manager::is_of_known_process(const executor_record& it, const run_record& run,
                                           const work::order_reply& reply) const {
    return reply.clock_ms && run.starts_sent == 1 && it.clock.is_known() &&
           *reply.clock_ms + clock_reading_margin_ms >= it.clock.estimate(run.started_at);
}

bool executor_manager::has_lease_expired(const executor_record& it, const run_record& run) const {
    const auto now = m_clock.now();
    if (it.clock.estimate(now) <= it.lease_until + lease_end_margin_ms) {
        return false;
    }
    // A restarted process grants its longest lease from when it receives the order.
    const auto longest = executor_clock::longest(m_limits.longest_lease) + m_limits.order_timeout;
    return run.is_of_known_process || it.is_grant_confirmed || now > it.granted_at + longest;
}

} // namespace savorytrail::cell
