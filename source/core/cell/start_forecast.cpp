#include "core/cell/start_forecast.h"

#include <algorithm>

#include "core/cell/placement.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using common::time_point;

// Bounds the work of a forecast: behind more tasks, a job is late anyway.
constexpr int max_placed_tasks = 400;

// When the run is expected to end, from now. One that has taken longer than expected may go on for
// as long as it is overdue.
milliseconds time_left(const run_record& run, time_point now) {
    const auto so_far = std::chrono::duration_cast<milliseconds>(now - run.started_at);
    return std::max(run.expected - so_far, so_far - run.expected);
}

int waiting_tasks(const job_record& job, int step) {
    return static_cast<int>(
        std::count_if(job.tasks().begin(), job.tasks().end(), [step](const task_record& it) {
            return it.step == step && it.state == task_state::waiting;
        }));
}

} // namespace

start_forecast::start_forecast(const executor_map& executors, time_point now) {
    for (const auto& [id, record] : executors) {
        if (!record->accepts_work(now) || record->is_drained) {
            continue;
        }
        executor it;
        it.info = &record->info;
        it.free = record->free();
        it.takes_one = record->is_cold(now) || record->health.is_on_probation();
        for (const auto& [key, run] : record->runs) {
            it.releases.push_back({time_left(run, now), run.occupied});
        }
        std::sort(it.releases.begin(), it.releases.end(),
                  [](const release& a, const release& b) { return a.at < b.at; });
        m_executors.push_back(std::move(it));
    }
}

std::optional<milliseconds> start_forecast::time_to_room(const executor& it,
                                                         const work::resources& needed) {
    if (!it.info->capacity.covers(needed)) {
        return std::nullopt;
    }
    if (it.takes_one) {
        return it.releases.empty() ? it.free_at : std::max(it.free_at, it.releases.back().at);
    }
    auto free = it.free;
    if (free.covers(needed)) {
        return it.free_at;
    }
    for (const auto& end : it.releases) {
        free += end.resources;
        if (free.covers(needed)) {
            return std::max(it.free_at, end.at);
        }
    }
    return std::nullopt;
}

void start_forecast::occupy(executor& it, milliseconds at, const work::step& step) {
    const auto first_later = std::find_if(it.releases.begin(), it.releases.end(),
                                          [at](const release& end) { return end.at > at; });
    for (auto end = it.releases.begin(); end != first_later; ++end) {
        it.free += end->resources;
    }
    it.releases.erase(it.releases.begin(), first_later);
    it.free_at = at;
    it.free -= step.task_resources;
    const release own{at + step.estimate, step.task_resources};
    it.releases.insert(
        std::upper_bound(it.releases.begin(), it.releases.end(), own,
                         [](const release& a, const release& b) { return a.at < b.at; }),
        own);
}

std::optional<milliseconds> start_forecast::place(const work::step& step,
                                                  const std::string& upstream, int tasks) {
    milliseconds last{0};
    for (int i = 0; i < tasks; i++) {
        executor* best = nullptr;
        milliseconds soonest{0};
        for (auto& it : m_executors) {
            if (!is_eligible(step, upstream, *it.info)) {
                continue;
            }
            const auto at = time_to_room(it, step.task_resources);
            if (at && (best == nullptr || *at < soonest)) {
                best = &it;
                soonest = *at;
            }
        }
        if (best == nullptr || m_placed == max_placed_tasks) {
            return std::nullopt;
        }
        m_placed++;
        occupy(*best, soonest, step);
        last = std::max(last, soonest);
    }
    return last;
}

std::optional<milliseconds> forecast_start(const job_record& candidate,
                                           const std::vector<const job_record*>& ahead,
                                           const executor_map& executors, time_point now) {
    start_forecast forecast(executors, now);
    for (const auto* job : ahead) {
        const auto& steps = job->job().steps;
        for (std::size_t i = 0; i < steps.size(); i++) {
            forecast.place(steps[i], job->job().queue.upstream,
                           waiting_tasks(*job, static_cast<int>(i)));
        }
    }
    milliseconds last{0};
    for (const auto& step : candidate.job().steps) {
        if (!step.depends_on.empty()) {
            continue;
        }
        const auto start = forecast.place(step, candidate.job().queue.upstream, step.tasks);
        if (!start) {
            return std::nullopt;
        }
        last = std::max(last, *start);
    }
    return last;
}

} // namespace savorytrail::cell
