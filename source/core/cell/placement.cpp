#include "core/cell/placement.h"

#include <memory>

namespace savorytrail::cell {
namespace {

bool can_run(const placement_request& request, const executor_record& it) {
    const auto& step = *request.step;
    if (it.info.upstream != *request.upstream || !it.free().covers(step.task_resources)) {
        return false;
    }
    if (!step.required_label.empty() && !it.info.has_label(step.required_label)) {
        return false;
    }
    return step.max_per_executor == 0 ||
           request.tasks_on_executor(it.info.id) < step.max_per_executor;
}

placement_cost cost_on(const placement_request& request, const executor_record& it) {
    placement_cost cost;
    cost.is_avoided = it.info.id == *request.avoid;
    cost.is_on_other_rack =
        !request.step->preferred_rack.empty() && !it.info.has_label(request.step->preferred_rack);
    if (request.interference_on) {
        cost.interference = request.interference_on(it.info.id);
    }
    cost.cpu_millis_left = it.free().cpu_millis - request.step->task_resources.cpu_millis;
    return cost;
}

} // namespace

const std::string* place(const placement_request& request,
                         const std::map<std::string, std::unique_ptr<executor_record>>& executors,
                         common::time_point now) {
    const std::string* best = nullptr;
    placement_cost lowest;
    for (const auto& [id, record] : executors) {
        if (!can_run(request, *record) || !record->accepts_work(now)) {
            continue;
        }
        const auto cost = cost_on(request, *record);
        if (best == nullptr || cost < lowest) {
            best = &id;
            lowest = cost;
        }
    }
    return best;
}

} // namespace savorytrail::cell
