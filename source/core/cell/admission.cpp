#include "core/cell/admission.h"

#include <algorithm>
#include <cmath>

namespace savorytrail::cell {
namespace {

using common::milliseconds;

// Bounds waits, so that adding one to a time cannot overflow.
constexpr double longest_wait_ms = 86'400'000;

milliseconds time_for(double work, double capacity) {
    return milliseconds(static_cast<std::int64_t>(milliseconds_for(work, capacity)));
}

} // namespace

std::string_view to_string(refusal_cause cause) {
    switch (cause) {
    case refusal_cause::no_executors:
        return "no_executors";
    case refusal_cause::none_fits:
        return "none_fits";
    case refusal_cause::too_late:
        return "too_late";
    case refusal_cause::late_here:
        return "late_here";
    case refusal_cause::share:
        return "share";
    case refusal_cause::late_overload:
        return "late_overload";
    case refusal_cause::not_started:
        return "not_started";
    case refusal_cause::patience:
        return "patience";
    case refusal_cause::not_renewed:
        return "not_renewed";
    case refusal_cause::crash_risk:
        return "crash_risk";
    case refusal_cause::suspended:
        return "suspended";
    case refusal_cause::no_dispatcher:
        return "no_dispatcher";
    case refusal_cause::no_cell:
        return "no_cell";
    }
    return "unknown";
}

double milliseconds_for(double work, double capacity) {
    const double ms = work / capacity;
    return ms > 0 ? std::min(ms, longest_wait_ms) : 0; // 0 for NaN too
}

std::string describe(const admission_view& view, const job_room& room) {
    const auto ms_of = [&](double work) {
        return std::to_string(time_for(work, view.capacity).count()) + " ms";
    };
    std::string text = "capacity " +
                       std::to_string(std::llround(std::clamp(view.capacity, 0.0, 1e15) / 1000)) +
                       " cores by reports ";
    text += view.age ? std::to_string(view.age->count()) + " ms old" : "not received yet";
    text += ", work ahead " + ms_of(view.work_ahead) + ", waiting " + ms_of(view.work_waiting);
    text += ", " + std::to_string(room.fitting) + " of " + std::to_string(room.tasks) +
            " first tasks fit now";
    if (room.tasks > 0 && room.fitting == room.tasks && !room.is_unclaimed) {
        text += ", where other jobs wait";
    }
    return text;
}

std::optional<refusal> admission::check(const job_record& candidate, const admission_view& view,
                                        const room_counter& count_room, common::time_point now) {
    const auto refuse = [](refusal_cause cause, const char* reason, milliseconds retry_after,
                           const job_room& room) {
        const bool lacked_executors = cause == refusal_cause::no_executors;
        return refusal{
            cause, {work::job_end::not_run, reason, retry_after, lacked_executors}, room};
    };
    // Negated, so that it holds for NaN too.
    if (!(view.capacity > 0)) {
        return refuse(refusal_cause::no_executors, "no executor takes work", min_retry_after,
                      count_room());
    }
    const auto& job = candidate.job();
    if (!view.has_fitting_executors) {
        return refuse(refusal_cause::none_fits, "no executor is large enough or has the label",
                      min_retry_after, count_room());
    }
    const double backlog_ms = milliseconds_for(view.work_waiting, view.capacity);
    const auto backlog = time_for(view.work_waiting, view.capacity);
    const bool had_share =
        m_fairness.offer(job.queue.name, job.cpu_demand(), view.capacity, backlog, now);
    const auto would_be_too_late = [&](milliseconds wait) {
        const auto end = now + wait + job.critical_path_length();
        return end > candidate.late_until() || end > candidate.give_up_at();
    };
    const double wait_ms = milliseconds_for(view.work_ahead, view.capacity);
    const bool is_late = would_be_too_late(time_for(view.work_ahead, view.capacity));
    if (!is_late && had_share) {
        m_fairness.charge(job.queue.name, job.cpu_demand(), view.capacity);
        return std::nullopt;
    }
    const auto room = count_room();
    if (room.is_unclaimed && !would_be_too_late(milliseconds(0))) {
        m_fairness.charge(job.queue.name, job.cpu_demand(), view.capacity);
        return std::nullopt;
    }
    if (is_late) {
        return refuse(refusal_cause::too_late, "the wait would be too long",
                      retry_after_for(wait_ms), room);
    }
    return refuse(refusal_cause::share, "overload, and its queue had its share",
                  retry_after_for(backlog_ms), room);
}

} // namespace savorytrail::cell
