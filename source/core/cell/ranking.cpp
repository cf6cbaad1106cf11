#include "core/cell/ranking.h"

#include <cmath>

namespace savorytrail::cell {
namespace {

// Estimates are rough, so a job counts as late or too late only if not even this fraction of its
// critical path fits into the remaining time.
constexpr double min_estimate_fraction = 0.75;

// Latest starts in the same step count as equal: predictions are off by more than this.
constexpr double latest_start_step_ms = 20;

double milliseconds_until(common::time_point at, common::time_point now) {
    return std::chrono::duration<double, std::milli>(at - now).count();
}

double latest_start_step(const job_record& it, common::time_point now) {
    const auto critical_path = static_cast<double>(it.job().critical_path_length().count());
    return std::floor((milliseconds_until(it.on_time_until(), now) - critical_path) /
                      latest_start_step_ms);
}

} // namespace

rank rank_of(const job_record& it, common::time_point now) {
    const auto critical_path = static_cast<double>(it.job().critical_path_length().count());
    const double min_remaining = critical_path * min_estimate_fraction;
    const int priority = it.job().queue.priority;
    if (it.may_have_run()) {
        return {urgency::started, latest_start_step(it, now), priority};
    }
    if (milliseconds_until(it.on_time_until(), now) >= min_remaining) {
        return {urgency::on_time, latest_start_step(it, now), priority};
    }
    if (milliseconds_until(std::min(it.late_until(), it.give_up_at()), now) >= min_remaining) {
        return {urgency::late, it.waiting_cpu_demand(), priority};
    }
    return {urgency::too_late, 0, priority};
}

} // namespace savorytrail::cell
