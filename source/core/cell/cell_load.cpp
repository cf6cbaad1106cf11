#include "core/cell/cell_load.h"

#include <algorithm>
#include <cmath>

namespace savorytrail::cell {
namespace {

bool counts_as_capacity(const executor_record& it, common::time_point now) {
    return it.state == claim_state::held && !it.is_retiring && !it.info.is_draining &&
           !it.is_drained && !it.is_unresponsive() && !it.is_listed_as_other_process() &&
           !it.health.is_quarantined(now);
}

std::int64_t as_work(std::int64_t cpu_millis, double speed) {
    return std::llround(static_cast<double>(cpu_millis) * speed);
}

} // namespace

cell_load load_of(const executor_map& executors, const packing& values,
                  double typical_task_cpu_millis, const executor_speeds& speeds,
                  common::time_point now) {
    cell_load sum;
    const auto piece = std::max<std::int64_t>(std::llround(typical_task_cpu_millis), 1);
    for (const auto& [id, it] : executors) {
        if (!counts_as_capacity(*it, now)) {
            continue;
        }
        const double speed = speeds.current_speed(it->info);
        if (typical_task_cpu_millis > 0 && it->is_cold(now)) {
            const auto task = as_work(std::min(piece, it->info.capacity.cpu_millis), speed);
            const auto free = it->runs.empty() ? task : 0;
            sum.capacity_cpu_millis += task;
            sum.free_cpu_millis += free;
            sum.usable_cpu_millis += free;
            continue;
        }
        sum.capacity_cpu_millis += as_work(it->info.capacity.cpu_millis, speed);
        const auto free = std::max<std::int64_t>(it->free().cpu_millis, 0);
        sum.free_cpu_millis += as_work(free, speed);
        if (it->accepts_work(now)) {
            const auto whole = values.is_known() ? values.value(free) : free / piece * piece;
            // On probation it takes one task.
            sum.usable_cpu_millis +=
                as_work(it->health.is_on_probation() ? std::min(whole, piece) : whole, speed);
        }
    }
    return sum;
}

} // namespace savorytrail::cell
