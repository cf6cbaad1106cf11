#include "core/cell/task_starter.h"

#include <algorithm>

#include "core/cell/placement.h"

namespace savorytrail::cell {

using common::milliseconds;

namespace {

// The chosen executor and the next best ones, in reports.
constexpr std::size_t max_options = 4;

milliseconds scaled(milliseconds it, double factor) {
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(it.count()) * factor));
}

task_kind kind_of(const job_record& job, const task_record& task) {
    return {job.job().queue.name, job.step_of(task).image};
}

} // namespace

milliseconds task_starter::time_limit(const job_record& job, const task_record& task) const {
    const double factor =
        m_limits.stuck_factor * static_cast<double>(1 << std::min(task.lost_runs, 4));
    const auto predicted = std::max(job.step_of(task).estimate, milliseconds(1));
    const auto limit = scaled(predicted, factor) + m_limits.stuck_grace;
    const auto& executor = m_executor_manager.executors().at(task.executor)->info;
    const double speed = m_speeds.cautious_speed(executor);
    if (speed == 1 && !m_speeds.do_differ()) {
        return limit;
    }
    // On a slow executor, a task that takes many times as long as usual is far beyond a limit by
    // the prediction, which is shrunk towards the usual.
    const auto& queue = job.job().queue;
    const auto longest = std::max(
        predicted, m_durations.cautious_duration(queue.name, job.caller_estimate(task.step)));
    const auto extended = scaled(longest, factor / speed) + m_limits.stuck_grace;
    // If the run hangs, another one must still be of use to the caller.
    const auto useful_until =
        std::min(job.late_until() +
                     scaled(longest - predicted, m_limits.late_factor * queue.stretch),
                 job.give_up_at()) -
        longest;
    const auto useful = std::chrono::duration_cast<milliseconds>(useful_until - m_clock.now());
    return std::max(limit, std::min(extended, useful));
}

placement_request task_starter::request_for(const job_record& job, const task_record& task,
                                            const start_plan* plan) const {
    placement_request request;
    request.step = &job.step_of(task);
    request.upstream = &job.job().queue.upstream;
    request.avoid = &task.avoid;
    request.is_of_begun_job = job.may_have_run();
    request.has_begun_in = [this, &job](const std::string& domain) {
        return has_begun_in(job, domain);
    };
    if (m_limits.places_by_speed && m_speeds.do_differ()) {
        request.speeds = &m_speeds;
        request.expected = request.step->estimate;
        request.left =
            std::chrono::duration_cast<milliseconds>(job.on_time_until() - m_clock.now()) -
            job.job().path_length_after(task.step);
    }
    request.values = plan != nullptr ? &plan->values : &m_packing;
    request.tasks_on_executor = [&job, &task](const std::string& executor) {
        return static_cast<int>(
            std::count_if(job.tasks().begin(), job.tasks().end(), [&](const task_record& other) {
                return other.step == task.step && other.state == task_state::active &&
                       other.executor == executor;
            }));
    };
    std::vector<neighbour_cost> costs;
    if (m_limits.avoids_interference && m_interference.knows_pairs()) {
        costs = m_interference.costs_beside(kind_of(job, task).key(), m_clock.now());
    }
    if (!costs.empty()) {
        request.interference_on = [this, plan,
                                   costs = std::move(costs)](const std::string& executor) {
            if (plan != nullptr) {
                if (const auto it = plan->kinds.find(executor); it != plan->kinds.end()) {
                    return m_interference.cost_on(executor, costs, it->second);
                }
            }
            return m_interference.cost_on(executor, costs);
        };
    }
    return request;
}

std::pair<task_starter::attempt, const std::string*>
task_starter::choose_executor(const placement_request& request, const executor_map& executors,
                              std::vector<const std::string*>& awaited) const {
    const auto chosen = place(request, executors, m_clock.now());
    if (chosen.is_late) {
        // A slow executor takes the longer, the longer the task is, a fast one is soon free again.
        const auto* faster = worth_waiting_for(request, executors, awaited, m_clock.now());
        if (faster != nullptr) {
            awaited.push_back(faster);
            return {attempt::held, nullptr};
        }
    }
    return {chosen.executor == nullptr ? attempt::no_room : attempt::started, chosen.executor};
}

bool task_starter::is_suspect(const task_record& task) const {
    return !m_crashes.is_empty() && m_crashes.is_suspect(task.crash_key);
}

task_starter::attempt task_starter::start(job_record& job, task_record& task,
                                          milliseconds isolated_for) {
    const auto id = job.id_of(task);
    if (m_stopping_runs.contains(id)) {
        return attempt::no_room;
    }
    auto request = request_for(job, task, nullptr);
    request.is_isolated = isolated_for > milliseconds(0);
    const auto [result, executor] =
        choose_executor(request, m_executor_manager.executors(), m_awaited);
    if (executor == nullptr) {
        return result;
    }
    const auto& step = job.step_of(task);
    task.last_run_number++;
    task.executor = *executor;
    const auto& info = m_executor_manager.executors().at(*executor)->info;
    const double speed = m_speeds.current_speed(info);
    const auto expected = scaled(step.estimate, 1 / speed);
    const run_plan plan{step.task_resources, job.job().payload, time_limit(job, task), expected,
                        isolated_for};
    if (!m_executor_manager.start(*executor, {id, task.last_run_number}, plan)) {
        task.last_run_number--;
        return attempt::no_room;
    }
    m_interference.note_start(*executor, {id, task.last_run_number}, kind_of(job, task),
                              {expected, job.caller_estimate(task.step), speed}, m_clock.now());
    job.set_state(task, task_state::active);
    job.note_start();
    return attempt::started;
}

bool task_starter::has_begun_in(const job_record& job, const std::string& domain) const {
    const auto& executors = m_executor_manager.executors();
    return std::any_of(job.tasks().begin(), job.tasks().end(), [&](const task_record& it) {
        if (it.state != task_state::active && it.state != task_state::done) {
            return false;
        }
        const auto at = executors.find(it.executor);
        return at != executors.end() && at->second->info.failure_domain == domain;
    });
}

bool task_starter::may_start_later(const job_record& job) const {
    const auto& executors = m_executor_manager.executors();
    const auto is_open = [&](const executor_record& it) {
        return it.is_kept() && (!it.is_drained || (it.is_in_drain_grace(m_clock.now()) &&
                                                   has_begun_in(job, it.info.failure_domain)));
    };
    const auto may_run = [&](const work::step& step, const executor_record& it) {
        return is_eligible(step, job.job().queue.upstream, it.info) &&
               it.info.capacity.covers(step.task_resources) && is_open(it);
    };
    std::optional<int> checked_step; // tasks of a step have equal requirements
    for (const auto& task : job.tasks()) {
        if (task.state != task_state::waiting || task.step == checked_step) {
            continue;
        }
        checked_step = task.step;
        if (std::any_of(executors.begin(), executors.end(),
                        [&](const auto& it) { return may_run(job.step_of(task), *it.second); })) {
            return true;
        }
    }
    return false;
}

template <typename Start>
void task_starter::for_each_waiting(job_record& job, const Start& start) {
    std::optional<int> full_step; // tasks of a step have equal requirements
    for (auto& task : job.tasks()) {
        task.is_withheld = false;
        if (task.state != task_state::waiting || task.step == full_step) {
            continue;
        }
        const auto result = start(task);
        task.is_withheld = result == attempt::held;
        if (result == attempt::no_room) {
            full_step = task.step;
        }
    }
}

std::vector<const task_record*> task_starter::start_waiting_tasks(job_record& job) {
    std::vector<const task_record*> started;
    for_each_waiting(job, [&](task_record& task) {
        if (is_suspect(task)) {
            return attempt::held;
        }
        const auto result = start(job, task, milliseconds(0));
        if (result == attempt::started) {
            started.push_back(&task);
        }
        return result;
    });
    return started;
}

const task_record* task_starter::start_suspect(job_record& job) {
    for (auto& task : job.tasks()) {
        if (task.state != task_state::waiting || !is_suspect(task)) {
            continue;
        }
        if (start(job, task, m_crashes.probation(task.crash_key)) == attempt::started) {
            return &task;
        }
    }
    return nullptr;
}

std::vector<planned_task> task_starter::plan_waiting_tasks(job_record& job, start_plan& plan,
                                                           bool with_options) const {
    std::vector<planned_task> list;
    const auto now = m_clock.now();
    for_each_waiting(job, [&](task_record& task) {
        const auto id = job.id_of(task);
        if (m_stopping_runs.contains(id)) {
            return attempt::no_room;
        }
        if (is_suspect(task)) {
            return attempt::held;
        }
        const auto request = request_for(job, task, &plan);
        planned_task planned;
        planned.step = task.step;
        planned.index = task.index;
        if (with_options) {
            planned.options = placement_options(request, plan.executors, now);
            planned.executors_that_can = planned.options.size();
            planned.options.resize(std::min(planned.options.size(), max_options));
            const bool is_first =
                std::none_of(list.begin(), list.end(),
                             [&](const planned_task& it) { return it.step == task.step; });
            for (const auto& [name, record] : plan.executors) {
                if (auto why = obstacles_to(request, *record, now); is_first && !why.empty()) {
                    planned.left_out.emplace(name, std::move(why));
                }
            }
        }
        const auto [result, executor] = choose_executor(request, plan.executors, plan.awaited);
        if (result == attempt::held) {
            planned.awaited = *plan.awaited.back();
        }
        if (executor != nullptr) {
            planned.executor = *executor;
            task.executor = *executor;
            auto& record = *plan.executors.at(*executor);
            run_record run;
            run.occupied = job.step_of(task).task_resources;
            run.started_at = now;
            run.expected =
                scaled(job.step_of(task).estimate, 1 / m_speeds.current_speed(record.info));
            record.used += run.occupied;
            record.runs.emplace(work::run_key{id, task.last_run_number + 1}, std::move(run));
            plan.kinds[*executor].push_back(kind_of(job, task).key());
            job.set_state(task, task_state::active);
            job.note_start();
        }
        list.push_back(std::move(planned));
        return result;
    });
    return list;
}

} // namespace savorytrail::cell
