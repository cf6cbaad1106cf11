#include "core/cell/placement.h"

#include <memory>
#include <tuple>

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

} // namespace

const std::string* place(const placement_request& request,
                         const std::map<std::string, std::unique_ptr<executor_record>>& executors,
                         common::time_point now) {
    using score = std::tuple<bool, bool, std::int64_t>;
    const std::string* best = nullptr;
    score best_score;
    for (const auto& [id, record] : executors) {
        if (!can_run(request, *record) || !record->accepts_work(now)) {
            continue;
        }
        const bool is_avoided = id == *request.avoid;
        const bool is_on_other_rack = !request.step->preferred_rack.empty() &&
                                      !record->info.has_label(request.step->preferred_rack);
        const score candidate_score(is_avoided, is_on_other_rack,
                                    record->free().cpu_millis -
                                        request.step->task_resources.cpu_millis);
        if (best == nullptr || candidate_score < best_score) {
            best = &id;
            best_score = candidate_score;
        }
    }
    return best;
}

} // namespace savorytrail::cell
