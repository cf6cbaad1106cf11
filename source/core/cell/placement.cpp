#include "core/cell/placement.h"

#include <cmath>
#include <memory>

namespace savorytrail::cell {
namespace {

// A task is expected to end in time if this multiple of its expected duration fits into the time
// left: tasks of one job differ, by 15% where it was observed, and predictions are inexact.
constexpr double time_margin = 1.3;
// Speeds that differ by less are not told apart: executors of one kind never seem quite equal, and
// would otherwise be filled in the order of their estimates instead of by the room they have.
const double log_speed_step = std::log(1.15);

void add_cost_of_speed(const placement_request& request, const work::executor_info& executor,
                       placement_cost& cost) {
    const double speed = request.speeds->current_speed(executor);
    const auto took = static_cast<double>(request.expected.count()) / speed;
    cost.is_late = took * time_margin > static_cast<double>(request.left.count());
    const int steps = static_cast<int>(std::lround(std::log(speed) / log_speed_step));
    cost.speed_steps = cost.is_late ? -steps : steps;
}

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
    if (request.speeds != nullptr) {
        add_cost_of_speed(request, it.info, cost);
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
