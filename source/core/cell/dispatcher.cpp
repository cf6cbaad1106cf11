#include "core/cell/dispatcher.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "core/cell/placement.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using common::time_point;

// Weight of the newest step in the average size of tasks.
constexpr double task_size_weight = 0.05;
// Time for the final answer to reach the caller before its patience ends.
constexpr milliseconds answer_margin{80};

} // namespace

dispatcher::dispatcher(limits by, const common::clock& clock, executor_manager& manager,
                       job_observer& observer)
    : m_limits(by), m_clock(clock), m_executor_manager(manager), m_observer(observer) {
    m_executor_manager.set_listener(this);
}

dispatcher::job_list::iterator dispatcher::find(const std::string& id) {
    const auto it = m_by_id.find(id);
    return it == m_by_id.end() ? m_jobs.end() : it->second;
}

std::uint64_t dispatcher::submit(const work::job& job, done_callback done) {
    waiter it;
    it.done = std::move(done);
    return add(job, std::move(it));
}

std::uint64_t dispatcher::submit_leased(const work::job& job, time_point held_until,
                                        done_callback done) {
    return add(job, make_leased_waiter(held_until, std::move(done)));
}

job_record dispatcher::make_record(const work::job& job) const {
    return {m_limits.learns_durations ? m_durations.with_predicted_durations(job) : job, job,
            m_limits, m_clock.now()};
}

std::uint64_t dispatcher::add(const work::job& job, waiter first) {
    const auto ticket = m_next_ticket++;
    first.ticket = ticket;
    if (const auto open = find(job.id); open != m_jobs.end()) {
        const bool is_live = first.held_until > m_clock.now();
        open->waiters.push_back(std::move(first));
        m_observer.job_event(job.id, "job_joined", "sent again while the job is open");
        if (is_live) {
            remove_earlier_waiters(*open, ticket);
        }
        return ticket;
    }
    job_record record = make_record(job);
    if (const auto* task = find_proven_task(record)) {
        first.done(crashed_outcome(record, *task));
        return ticket;
    }
    const auto view = view_for(record);
    if (const auto it = return_if_late_here(record, view)) {
        first.done(*it);
        return ticket;
    }
    const auto count_room = [&] { return room_of(record); };
    if (const auto refusal = m_admission.check(record, view, count_room, m_clock.now())) {
        m_observer.job_event(job.id, "job_refused",
                             refusal->outcome.reason + "; " + describe(view, refusal->room));
        m_observer.count_refusal(refusal->cause);
        first.done(refusal->outcome);
        return ticket;
    }
    record.waiters.push_back(std::move(first));
    m_jobs.push_back(std::move(record));
    m_by_id[job.id] = std::prev(m_jobs.end());
    note_task_sizes(job, m_typical_task_cpu_millis, m_packing);
    m_reservation.add_job(m_jobs.back().job(), m_clock.now());
    on_resources_freed();
    return ticket;
}

void dispatcher::note_task_sizes(const work::job& job, double& typical_cpu_millis,
                                 packing& values) {
    for (const auto& step : job.steps) {
        const auto size = static_cast<double>(step.task_resources.cpu_millis);
        const double weight = typical_cpu_millis == 0 ? 1 : task_size_weight;
        typical_cpu_millis += weight * (size - typical_cpu_millis);
        values.add(step.task_resources.cpu_millis, step.tasks);
    }
}

bool dispatcher::counts_as_started(const job_record& job, std::optional<double>& free_left) const {
    if (!job.is_held_back()) {
        return false;
    }
    if (!free_left) {
        free_left = static_cast<double>(own_load().usable_cpu_millis);
    }
    if (job.waiting_cpu_millis() > *free_left) {
        return false;
    }
    *free_left -= job.waiting_cpu_millis();
    return true;
}

cell_load dispatcher::own_load() const {
    return load_of(m_executor_manager.executors(), m_packing, m_typical_task_cpu_millis, m_speeds,
                   m_clock.now());
}

double dispatcher::waiting_cpu_demand() const {
    double sum = 0;
    std::optional<double> free_left;
    for (const auto& it : m_jobs) {
        sum += counts_as_started(it, free_left) ? 0 : it.waiting_cpu_demand();
    }
    return sum;
}

double dispatcher::effective_capacity() const {
    const auto nominal = own_load();
    return m_capacity_meter.effective(static_cast<double>(nominal.capacity_cpu_millis));
}

admission_view dispatcher::view_for(const job_record& candidate) const {
    const auto now = m_clock.now();
    const auto candidate_rank = rank_of(candidate, now);
    admission_view view;
    view.capacity = effective_capacity();
    view.age = capacity_age();
    view.has_fitting_executors =
        has_fitting_executors(candidate.job(), m_executor_manager.executors());
    std::optional<double> free_left;
    for (const auto& it : m_jobs) {
        if (counts_as_started(it, free_left)) {
            continue;
        }
        const double work = it.waiting_cpu_demand();
        view.work_waiting += work;
        if (it.has_waiting() && rank_of(it, now) < candidate_rank) {
            view.work_ahead += work;
        }
    }
    return view;
}

std::optional<milliseconds> dispatcher::capacity_age() const {
    std::optional<time_point> newest;
    for (const auto& [id, it] : m_executor_manager.executors()) {
        if (it->reported_at) {
            newest = std::max(newest.value_or(*it->reported_at), *it->reported_at);
        }
    }
    return newest ? std::optional(std::chrono::duration_cast<milliseconds>(m_clock.now() - *newest))
                  : std::nullopt;
}

job_room dispatcher::room_of(const job_record& job) const {
    return room_for(job, m_jobs, m_executor_manager.executors(), m_clock.now());
}

milliseconds dispatcher::retry_after() const {
    return retry_after_for(static_cast<double>(load().backlog_ms));
}

void dispatcher::stop_runs(const job_record& job, time_point runs_end_by) {
    for (const auto& task : job.tasks()) {
        if (task.state == task_state::active) {
            const auto id = job.id_of(task);
            m_stopping_runs.add(id, m_clock.now());
            m_executor_manager.stop(task.executor, {id, task.last_run_number}, runs_end_by);
        }
    }
}

void dispatcher::note_stopped_run(const work::task_id& task, run_result result) {
    const auto it = m_stopping_runs.remove(task, result, m_clock.now());
    if (!it) {
        return;
    }
    m_observer.job_event(task.job, "runs_stopped",
                         "after " + std::to_string(it->took.count()) + " ms, " +
                             std::to_string(it->stopped) + " stopped, " + std::to_string(it->done) +
                             " ended by themselves");
    m_observer.runs_stopped(it->took);
}

void dispatcher::close(job_list::iterator job, const work::outcome& outcome,
                       time_point runs_end_by) {
    m_by_id.erase(job->job().id);
    end_hold(*job);
    const job_record closed = std::move(*job);
    m_jobs.erase(job);
    stop_runs(closed, runs_end_by);
    // Only one may offer the job to other cells, or it could run in two of them at once.
    const auto latest = closed.waiters.empty() ? 0 : closed.waiters.back().ticket;
    for (const auto& it : closed.waiters) {
        const bool is_replaced = outcome.end == work::job_end::not_run && it.ticket != latest;
        it.done(is_replaced ? outcome_of_replaced() : outcome);
    }
}

time_point dispatcher::end_of_runs(const job_record& job) const {
    // When its caller may have begun to count the time after which it resends the job.
    const auto left_at = m_clock.now() - m_executor_manager.longest_wait();
    return std::min(job.held_until(), left_at + m_limits.job_lease);
}

void dispatcher::close(job_list::iterator job, const work::outcome& outcome) {
    close(job, outcome, end_of_runs(*job));
}

work::outcome dispatcher::given_up_outcome(const job_record& job, refusal_cause cause,
                                           const std::string& reason) const {
    const auto end = job.may_have_run() ? work::job_end::given_up : work::job_end::not_run;
    const auto detail = reason + "; " + describe(view_for(job), room_of(job));
    if (end == work::job_end::given_up) {
        m_observer.job_event(job.job().id, "job_given_up", detail);
    } else {
        m_observer.job_event(job.job().id, "job_refused", detail);
        m_observer.count_refusal(cause);
    }
    return {end, reason, retry_after()};
}

void dispatcher::give_up(job_list::iterator job, refusal_cause cause, const std::string& reason) {
    close(job, given_up_outcome(*job, cause, reason));
}

void dispatcher::tick() {
    const auto now = m_clock.now();
    note_executors();
    const bool has_drained = m_executor_manager.has_drained();
    const double capacity = effective_capacity();
    // Without executors, any work that was offered a moment ago would look like overload.
    const bool is_overloaded = capacity > 0 && m_admission.is_overloaded(capacity, now);
    return_stranded_jobs(capacity > 0, now);
    note_interference(m_interference.tick(now));
    end_probations(now);
    bool has_waiting_tasks = false;
    bool waits_for_cores = false;
    bool has_held_back_jobs = false;
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        const auto job = it++;
        if (remove_unrenewed_waiters(job, now) || (has_drained && leave_drained(job)) ||
            give_up_late_suspect(job)) {
            continue;
        }
        // What is held back leaves capacity free on purpose, which says nothing about utilization.
        has_held_back_jobs = has_held_back_jobs || job->is_held_back();
        has_waiting_tasks = has_waiting_tasks || (job->has_waiting() && !job->is_held_back());
        waits_for_cores = waits_for_cores || (!job->is_held_back() && is_waiting_for_cores(*job));
        const auto group = rank_of(*job, now).group;
        if (group == urgency::late && return_late_job(job)) {
            continue;
        }
        if (now + answer_margin >= job->give_up_at()) {
            give_up(job, refusal_cause::patience, "its caller's patience ends");
        } else if (group == urgency::too_late) {
            give_up(job, refusal_cause::not_started, "no executor became free in time");
        } else if (group == urgency::late && is_overloaded) {
            // Under overload, a late job would take resources from jobs that can still be on time.
            give_up(job, refusal_cause::late_overload,
                    "it would be late, and more work comes than can be done");
        }
    }
    if (!has_waiting_tasks) {
        m_capacity_meter.note_calm();
    }
    if (waits_for_cores) {
        const auto current_load = load();
        if (current_load.capacity_cpu_millis > 0) {
            m_capacity_meter.add_utilization(
                1 - static_cast<double>(current_load.free_cpu_millis) /
                        static_cast<double>(current_load.capacity_cpu_millis));
        }
    }
    note_contention(now);
    if (has_held_back_jobs) {
        on_resources_freed(); // the slack of one may be used up, and no run may end in time
    }
}

bool dispatcher::is_waiting_for_cores(const job_record& job) const {
    if (!job.has_waiting() || !may_start(job)) {
        return false;
    }
    const auto& executors = m_executor_manager.executors();
    return std::any_of(job.tasks().begin(), job.tasks().end(), [&](const task_record& task) {
        const auto& step = job.step_of(task);
        return task.state == task_state::waiting && !task.is_withheld &&
               step.max_per_executor == 0 &&
               std::all_of(executors.begin(), executors.end(), [&](const auto& it) {
                   return is_eligible(step, job.job().queue.upstream, it.second->info);
               });
    });
}

void dispatcher::note_starts(const job_record& job,
                             const std::vector<const task_record*>& started) {
    if (started.empty()) {
        return;
    }
    std::string executors;
    for (const auto* it : started) {
        executors += (executors.empty() ? "" : " ") + it->executor;
        if (it->last_run_number > 1) {
            executors += '#';
            executors += std::to_string(it->last_run_number);
        }
    }
    m_observer.job_event(job.job().id, "tasks_started", executors);
}

void dispatcher::on_resources_freed() {
    if (m_is_dispatching) {
        return;
    }
    m_is_dispatching = true;
    const auto now = m_clock.now();
    if (m_limits.packs_by_value) {
        m_packing.refresh(m_executor_manager.executors(), now);
    }
    if (m_limits.reserves_capacity && m_reservation.has_contention(now)) {
        begin_reservation_pass(m_reservation, own_load());
    }
    std::vector<std::pair<rank, job_record*>> order;
    for (auto& it : m_jobs) {
        if (it.has_waiting() && may_start(it)) {
            order.emplace_back(rank_of(it, now), &it);
        }
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    m_starter.begin_round();
    std::vector<job_record*> with_suspects;
    for (const auto& [job_rank, job] : order) {
        const int priority = job->job().queue.priority;
        if (is_held_back(*job, now)) {
            continue;
        }
        const double used_before = job->active_cpu_millis();
        const auto started = m_starter.start_waiting_tasks(*job);
        note_starts(*job, started);
        if (!started.empty()) {
            m_reservation.note_started(priority, job->active_cpu_millis() - used_before);
            end_hold(*job);
        }
        if (m_limits.reserves_capacity && job->has_waiting() && lacks_only_free_capacity(*job)) {
            m_reservation.note_shortage(priority, now);
        }
        if (has_waiting_suspect(*job)) {
            with_suspects.push_back(job);
        }
    }
    start_suspects(with_suspects);
    m_reservation.end_pass();
    m_is_dispatching = false;
}

void dispatcher::note_executors() {
    if (m_known_claims == m_executor_manager.claims_version()) {
        return;
    }
    m_known_claims = m_executor_manager.claims_version();
    std::vector<const work::executor_info*> list;
    list.reserve(m_executor_manager.executors().size());
    for (const auto& [id, it] : m_executor_manager.executors()) {
        list.push_back(&it->info);
    }
    m_speeds.set_executors(list, m_clock.now());
}

void dispatcher::note_pace(const work::executor_info& executor, executor_speeds::change change) {
    if (change != executor_speeds::change::none || m_speeds.is_turned_slow(executor.id)) {
        // Again after each slow run, as its success has ended the probation.
        m_executor_manager.note_pace(executor.id, change);
    }
}

void dispatcher::note_interference(const std::vector<pair_change>& changes) {
    for (const auto& it : changes) {
        m_observer.interference_changed(it);
    }
}

void dispatcher::on_run_duration(const work::run_key& run, const work::executor_info& executor,
                                 milliseconds took) {
    const auto job = find(run.task.job);
    if (job == m_jobs.end() || m_stopping_runs.contains(run.task)) {
        return;
    }
    const auto predicted = job->job().steps.at(run.task.step).estimate;
    const auto seen = m_speeds.add(executor, run.task.job, predicted, took);
    note_pace(executor, seen.what);
    if (!seen.speed) {
        return; // of an executor that is not as fast as usual
    }
    // The cell's capacity counts slow executors as less already.
    const std::chrono::duration<double, std::milli> at_speed_1 = took * *seen.speed;
    if (predicted.count() > 0) {
        m_capacity_meter.add_run(at_speed_1 / predicted);
    }
    m_durations.add(job->job().queue.name, job->caller_estimate(run.task.step),
                    milliseconds(std::llround(at_speed_1.count())));
    note_interference(m_interference.note_success(executor.id, run, took, m_clock.now()));
}

void dispatcher::on_run_ended(const work::run_key& run, const std::string& executor,
                              const run_outcome& outcome) {
    m_interference.note_end(executor, run, m_clock.now());
    m_crash_risk.note_end(run);
    if (outcome.result == run_result::done || outcome.result == run_result::failed) {
        m_crashes.note_survived(run.task);
    }
    if (m_stopping_runs.contains(run.task)) {
        note_stopped_run(run.task, outcome.result);
        return;
    }
    const auto job = find(run.task.job);
    if (job == m_jobs.end()) {
        return;
    }
    const auto task = std::find_if(job->tasks().begin(), job->tasks().end(), [&](const auto& t) {
        return t.step == run.task.step && t.index == run.task.index &&
               t.state == task_state::active && t.last_run_number == run.number;
    });
    if (task == job->tasks().end()) {
        return;
    }
    switch (outcome.result) {
    case run_result::done:
        job->set_state(*task, task_state::done);
        break;
    case run_result::failed:
        on_failure(job, *task);
        return;
    case run_result::lost:
        on_lost(*job, *task, outcome.loss);
        break;
    case run_result::refused:
        job->retract_start();
        if (outcome.status != work::order_status::outdated) {
            task->avoid = executor;
        }
        job->set_state(*task, task_state::waiting);
        break;
    }
    if (job->is_done()) {
        m_observer.job_event(job->job().id, "job_succeeded", "");
        close(job, {work::job_end::succeeded, "", {}});
        return;
    }
    job->unblock();
}

void dispatcher::on_lost(job_record& job, task_record& task, loss_cause cause) {
    m_observer.job_event(job.job().id, "run_lost",
                         absl::StrCat(task.executor, ": step ", task.step, ", task ", task.index,
                                      ", run ", task.last_run_number, ", ",
                                      std::string(to_string(cause))));
    m_observer.count_lost_run(cause);
    task.lost_runs++;
    task.avoid = task.executor;
    job.set_state(task, task_state::waiting);
}

void dispatcher::on_failure(job_list::iterator job, task_record& task) {
    m_executor_manager.note_failure(task.executor, task.failures == 0);
    task.failures++;
    task.avoid = task.executor;
    job->set_state(task, task_state::waiting); // its run has ended: close() must not await it
    m_observer.job_event(job->job().id, "task_failed", task.executor);
    if (task.failures >= job->job().queue.max_attempts) {
        m_observer.job_event(job->job().id, "job_failed", "a task failed as often as allowed");
        close(job, {work::job_end::failed, "a task failed as often as allowed", {}});
    }
}

void dispatcher::on_suspended() {
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        const auto job = it++;
        // Callers may have left when the VM stopped, so the runs get no time beyond their leases.
        close(job, given_up_outcome(*job, refusal_cause::suspended, "this VM stood still"),
              m_clock.now());
    }
}

cell_load dispatcher::load() const {
    auto sum = own_load();
    std::optional<double> free_left;
    for (const auto& it : m_jobs) {
        counts_as_started(it, free_left);
    }
    if (free_left) {
        sum.usable_cpu_millis = static_cast<std::int64_t>(*free_left);
    }
    if (sum.capacity_cpu_millis > 0) {
        sum.backlog_ms = static_cast<std::int64_t>(milliseconds_for(
            waiting_cpu_demand(),
            m_capacity_meter.effective(static_cast<double>(sum.capacity_cpu_millis))));
    }
    return sum;
}

} // namespace savorytrail::cell
