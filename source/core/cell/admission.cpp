#include "core/cell/admission.h"

#include <algorithm>

namespace savorytrail::cell {
namespace {

using common::milliseconds;

work::outcome refusal(const char* reason, milliseconds retry_after, bool lacked_executors = false) {
    return {work::job_end::not_run, reason, retry_after, lacked_executors};
}

milliseconds time_for(double work, double capacity) {
    return milliseconds(static_cast<std::int64_t>(work / capacity));
}

} // namespace

std::optional<work::outcome> admission::refuse(const job_record& candidate,
                                               const admission_view& view, common::time_point now) {
    if (view.capacity <= 0) {
        return refusal("no executor takes work", min_retry_after, true);
    }
    const auto& job = candidate.job();
    const auto wait = time_for(view.work_ahead, view.capacity);
    const auto end = now + wait + job.critical_path_length();
    if (end > candidate.late_until() || end > candidate.give_up_at()) {
        return refusal("the wait would be too long", std::max(min_retry_after, wait));
    }
    const auto backlog = time_for(view.work_waiting, view.capacity);
    if (!m_fairness.admit(job.queue.name, job.cpu_demand(), view.capacity, backlog, now)) {
        return refusal("overload, and its queue had its share", min_retry_after);
    }
    return std::nullopt;
}

} // namespace savorytrail::cell
