#include "core/cell/ranking.h"

namespace savorytrail::cell {
namespace {

// Estimates are rough: a job counts as late or hopeless only when even this share of its estimate
// does not fit any more.
constexpr double least_share_of_estimate = 0.75;

double milliseconds_until(common::time_point at, common::time_point now) {
    return std::chrono::duration<double, std::milli>(at - now).count();
}

} // namespace

rank rank_of(const job_record& it, common::time_point now) {
    const auto chain = static_cast<double>(it.job().critical_path_length().count());
    const double least = chain * least_share_of_estimate;
    const int priority = it.job().queue.priority;
    if (it.may_have_run()) {
        return {urgency::begun, milliseconds_until(it.on_time_until(), now) - chain, priority};
    }
    if (milliseconds_until(it.on_time_until(), now) >= least) {
        return {urgency::on_time, milliseconds_until(it.on_time_until(), now) - chain, priority};
    }
    if (milliseconds_until(std::min(it.late_until(), it.give_up_at()), now) >= least) {
        return {urgency::late, it.waiting_cpu_demand(), priority};
    }
    return {urgency::hopeless, 0, priority};
}

} // namespace savorytrail::cell
