#include "core/cell/placement.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using real_milliseconds = std::chrono::duration<double, std::milli>;

// A task is expected to end in time if this multiple of its expected duration fits into the time
// left: tasks of one job differ, by 15% where it was observed, and predictions are inexact.
constexpr double time_margin = 1.5;
// With the margin.
real_milliseconds time_needed(const placement_request& request, double speed) {
    return request.expected * time_margin / speed;
}

void add_cost_of_speed(const placement_request& request, const work::executor_info& executor,
                       placement_cost& cost) {
    const auto pace = request.speeds->current_pace(executor);
    cost.is_late = time_needed(request, pace.speed) > request.left;
    cost.speed_steps = cost.is_late ? -pace.step : pace.step;
}

// Why the task may not run there, whatever is free; empty if nothing speaks against it.
std::string_view unsuitability(const placement_request& request, const executor_record& it,
                               common::time_point now) {
    const auto& step = *request.step;
    if (!is_eligible(step, *request.upstream, it.info)) {
        return it.info.upstream == *request.upstream ? "label" : "other_upstream";
    }
    if (it.is_kept_for_begun_jobs && !request.is_of_begun_job) {
        return "retiring";
    }
    if (it.is_drained &&
        !(it.is_in_drain_grace(now) && request.has_begun_in(it.info.failure_domain))) {
        return "drained";
    }
    if (request.is_isolated && !it.runs.empty()) {
        return "occupied";
    }
    if (it.is_cold(now) && !it.runs.empty()) {
        return "cold"; // a cold executor runs one task at a time
    }
    if (step.max_per_executor != 0 &&
        request.tasks_on_executor(it.info.id) >= step.max_per_executor) {
        return "max_per_executor";
    }
    return {};
}

bool suits(const placement_request& request, const executor_record& it, common::time_point now) {
    return unsuitability(request, it, now).empty();
}

bool can_run(const placement_request& request, const executor_record& it, common::time_point now) {
    return it.free().covers(request.step->task_resources) && suits(request, it, now);
}

// When the runs there are expected to have left room for the task; nullopt if never, or unknown.
std::optional<milliseconds> time_to_room(const work::resources& needed, const executor_record& it,
                                         common::time_point now) {
    std::vector<std::pair<milliseconds, work::resources>> ends;
    for (const auto& [key, run] : it.runs) {
        if (run.expected.count() == 0) {
            return std::nullopt;
        }
        const auto so_far = std::chrono::duration_cast<milliseconds>(now - run.started_at);
        // A run that has taken longer than expected may go on for as long as it is overdue.
        ends.emplace_back(std::max(run.expected - so_far, so_far - run.expected), run.occupied);
    }
    std::sort(ends.begin(), ends.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    auto free = it.free();
    for (const auto& [end, occupied] : ends) {
        free += occupied;
        if (free.covers(needed)) {
            return end;
        }
    }
    return std::nullopt;
}

placement_cost cost_on(const placement_request& request, const executor_record& it,
                       common::time_point now) {
    placement_cost cost;
    cost.is_drained = it.is_drained;
    cost.is_avoided = it.info.id == *request.avoid;
    cost.is_on_other_rack =
        !request.step->preferred_rack.empty() && !it.info.has_label(request.step->preferred_rack);
    cost.is_cold = it.is_cold(now);
    if (request.speeds != nullptr) {
        add_cost_of_speed(request, it.info, cost);
    }
    if (request.values != nullptr) {
        cost.packing_loss =
            request.values->loss(it.free().cpu_millis, request.step->task_resources.cpu_millis);
    }
    if (request.interference_on) {
        cost.interference = request.interference_on(it.info.id);
    }
    cost.cpu_millis_left = it.free().cpu_millis - request.step->task_resources.cpu_millis;
    return cost;
}

std::string_view to_string(work_obstacle it) {
    switch (it) {
    case work_obstacle::none:
        return "";
    case work_obstacle::not_claimed:
        return "not_claimed";
    case work_obstacle::retiring:
        return "retiring";
    case work_obstacle::unresponsive:
        return "unresponsive";
    case work_obstacle::other_process:
        return "other_process";
    case work_obstacle::rejected_start:
        return "rejected_start";
    case work_obstacle::foreign_runs:
        return "foreign_runs";
    case work_obstacle::quarantined:
        return "quarantined";
    case work_obstacle::on_probation:
        return "on_probation";
    case work_obstacle::overdue_run:
        return "overdue_run";
    case work_obstacle::isolated_run:
        return "isolated_run";
    case work_obstacle::lease_ends:
        return "lease_ends";
    }
    return "unknown";
}

} // namespace

std::vector<std::string_view> obstacles_to(const placement_request& request,
                                           const executor_record& it, common::time_point now) {
    std::vector<std::string_view> list{to_string(it.obstacle_to_work(now)),
                                       unsuitability(request, it, now)};
    if (!it.free().covers(request.step->task_resources)) {
        list.emplace_back(it.info.capacity.covers(request.step->task_resources) ? "no_room"
                                                                                : "too_small");
    }
    std::erase(list, std::string_view());
    return list;
}

std::vector<placement_option> placement_options(const placement_request& request,
                                                const executor_map& executors,
                                                common::time_point now) {
    std::vector<placement_option> list;
    for (const auto& [id, record] : executors) {
        if (can_run(request, *record, now) && record->accepts_work(now)) {
            list.push_back({id, cost_on(request, *record, now)});
        }
    }
    std::stable_sort(list.begin(), list.end(),
                     [](const auto& a, const auto& b) { return a.cost < b.cost; });
    return list;
}

bool is_eligible(const work::step& step, const std::string& upstream,
                 const work::executor_info& it) {
    return it.upstream == upstream &&
           (step.required_label.empty() || it.has_label(step.required_label));
}

placement place(const placement_request& request, const executor_map& executors,
                common::time_point now) {
    placement best;
    placement_cost lowest;
    for (const auto& [id, record] : executors) {
        if (!can_run(request, *record, now)) {
            continue;
        }
        const auto cost = cost_on(request, *record, now);
        // accepts_work() looks at every run, so it is asked only of executors that would be chosen.
        if ((best.executor == nullptr || cost < lowest) && record->accepts_work(now)) {
            best = {&id, cost.is_late};
            lowest = cost;
        }
    }
    return best;
}

const std::string* worth_waiting_for(const placement_request& request,
                                     const executor_map& executors,
                                     const std::vector<const std::string*>& awaited,
                                     common::time_point now) {
    const std::string* best = nullptr;
    auto shortest = milliseconds::max();
    for (const auto& [id, record] : executors) {
        const auto took = time_needed(request, request.speeds->current_speed(record->info));
        if (took > request.left || id == *request.avoid || !suits(request, *record, now) ||
            !record->accepts_work(now) ||
            std::find(awaited.begin(), awaited.end(), &id) != awaited.end()) {
            continue;
        }
        const auto wait = time_to_room(request.step->task_resources, *record, now);
        if (wait && *wait < shortest && *wait * time_margin + took <= request.left) {
            best = &id;
            shortest = *wait;
        }
    }
    return best;
}

} // namespace savorytrail::cell
