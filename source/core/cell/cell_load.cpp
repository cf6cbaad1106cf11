#include "core/cell/cell_load.h"

#include <algorithm>
#include <cmath>

namespace savorytrail::cell {
namespace {

bool counts_as_capacity(const executor_record& it, common::time_point now) {
    return it.state == claim_state::held && !it.is_retiring && !it.info.is_draining &&
           !it.is_unresponsive() && !it.health.is_quarantined(now);
}

} // namespace

cell_load load_of(const std::map<std::string, std::unique_ptr<executor_record>>& executors,
                  const packing& values, double typical_task_cpu_millis, common::time_point now) {
    cell_load sum;
    const auto piece = std::max<std::int64_t>(std::llround(typical_task_cpu_millis), 1);
    for (const auto& [id, it] : executors) {
        if (!counts_as_capacity(*it, now)) {
            continue;
        }
        sum.capacity_cpu_millis += it->info.capacity.cpu_millis;
        const auto free = std::max<std::int64_t>(it->free().cpu_millis, 0);
        sum.free_cpu_millis += free;
        sum.usable_cpu_millis += values.is_known() ? values.value(free) : free / piece * piece;
    }
    return sum;
}

} // namespace savorytrail::cell
