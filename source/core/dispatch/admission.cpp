// Admission rules. A refusal carries the delay after which a new submission may succeed, if any.
#include "core/dispatch/admission.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace savorytrail::dispatch {
namespace {

constexpr common::milliseconds no_executors_retry{1000};
constexpr common::milliseconds min_retry{10};
constexpr int wait_margin_percent = 150; // of the estimated wait, as tasks may take longer

admission_result refuse(job::reason why, std::string detail,
                        std::optional<common::milliseconds> retry) {
    if (retry)
        retry = std::max(*retry, min_retry);
    return {false, why, std::move(detail), retry};
}

common::milliseconds parallel_time(common::milliseconds work, std::size_t slots) {
    return work / static_cast<std::int64_t>(std::max<std::size_t>(slots, 1));
}

bool cannot_meet_deadline(const job_demand& job, const queue_capacity& queue) {
    const auto slots = std::max(queue.fleet_slots, queue.slots);
    return std::max(job.min_longest_task, parallel_time(job.min_work, slots)) > job.time_left;
}

} // namespace

admission_result check_admission(const std::string& upstream, const job_demand& job,
                                 const queue_capacity& queue) {
    if (queue.slots == 0 && queue.lent > 0) {
        auto returned = queue;
        returned.slots = std::exchange(returned.lent, 0);
        return check_admission(upstream, job, returned);
    }
    if (queue.slots == 0)
        return refuse(job::reason::no_executors,
                      absl::StrCat("upstream ", upstream, " has no executor that can be used"),
                      no_executors_retry);
    if (cannot_meet_deadline(job, queue))
        return refuse(job::reason::deadline_unreachable,
                      "the tasks need more time than the deadline leaves, even when nothing waits",
                      std::nullopt);
    const std::size_t available = queue.max_queued + queue.idle;
    if (job.tasks > queue.max_queued + queue.slots)
        return refuse(job::reason::queue_full, "the job has more tasks than the queue may hold",
                      std::nullopt);
    if (queue.queued + job.tasks > available) {
        const std::size_t excess = queue.queued + job.tasks - available;
        return refuse(
            job::reason::queue_full,
            absl::StrCat(queue.queued, " tasks wait for upstream ", upstream),
            parallel_time(queue.task_time * static_cast<std::int64_t>(excess), queue.slots));
    }
    if (queue.work_ahead.count() == 0)
        return {};
    const auto wait = parallel_time(queue.work_ahead, queue.slots) * wait_margin_percent / 100;
    const auto finish =
        wait + std::max(job.expected_longest_task, parallel_time(job.min_work, queue.slots));
    if (finish > job.time_left)
        return refuse(job::reason::deadline_unreachable,
                      absl::StrCat("the tasks would wait about ", wait.count(), " ms"),
                      finish - job.time_left);
    return {};
}

} // namespace savorytrail::dispatch
