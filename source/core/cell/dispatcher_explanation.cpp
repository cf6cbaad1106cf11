// The part of dispatcher that explains what it would do with a job now, by the decision code on
// copies of its state.
#include <algorithm>
#include <chrono>

#include "core/cell/dispatcher.h"

namespace savorytrail::cell {

using common::milliseconds;
using common::time_point;

placement_explanation dispatcher::explain(const work::job& job) const {
    const auto now = m_clock.now();
    const auto until = [now](time_point at) {
        return std::chrono::duration_cast<milliseconds>(at - now);
    };
    job_record candidate = make_record(job);
    placement_explanation it;
    const auto candidate_rank = rank_of(candidate, now);
    it.group = candidate_rank.group;
    it.rank_order = candidate_rank.key;
    it.on_time_for = until(candidate.on_time_until());
    it.late_for = until(candidate.late_until());
    it.wanted_for = until(candidate.give_up_at());
    it.slack = it.on_time_for - candidate.job().critical_path_length();
    it.view = view_for(candidate);
    it.room = room_of(candidate);
    admission accounts = m_admission;
    it.refused = accounts.check(
        candidate, it.view, [&] { return it.room; }, now);
    it.are_starts_paused = !m_executor_manager.can_start_runs();

    // As add() and on_resources_freed(), on copies.
    start_plan plan;
    for (const auto& [id, record] : m_executor_manager.executors()) {
        plan.executors.emplace(id, std::make_unique<executor_record>(*record));
    }
    plan.values = m_packing;
    double typical_cpu_millis = m_typical_task_cpu_millis;
    note_task_sizes(job, typical_cpu_millis, plan.values);
    room_reservation reservation = m_reservation;
    reservation.add_job(candidate.job(), now);
    if (m_limits.packs_by_value) {
        plan.values.refresh(plan.executors, now);
    }
    if (m_limits.reserves_capacity && reservation.has_contention(now)) {
        begin_reservation_pass(
            reservation, load_of(plan.executors, plan.values, typical_cpu_millis, m_speeds, now));
    }
    std::vector<std::pair<rank, const job_record*>> order;
    for (const auto& other : m_jobs) {
        const auto other_rank = rank_of(other, now);
        // Of equal ones, the job that arrived first goes first.
        if (other.has_waiting() && may_start(other) && other_rank <= candidate_rank) {
            order.emplace_back(other_rank, &other);
        }
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    it.jobs_ahead = order.size();
    const auto plan_job = [&](job_record copy, bool is_candidate) -> std::optional<int> {
        if (const auto level = reservation.must_wait_for(copy, copy.waiting_cpu_millis(), now)) {
            return level;
        }
        const double used_before = copy.active_cpu_millis();
        auto tasks = m_starter.plan_waiting_tasks(copy, plan, is_candidate);
        if (is_candidate) {
            it.tasks = std::move(tasks);
            return std::nullopt;
        }
        if (copy.active_cpu_millis() != used_before) {
            reservation.note_started(copy.job().queue.priority,
                                     copy.active_cpu_millis() - used_before);
        }
        if (copy.has_waiting() && lacks_only_free_capacity(copy)) {
            reservation.note_shortage(copy.job().queue.priority, now);
        }
        return std::nullopt;
    };
    for (const auto& [other_rank, other] : order) {
        plan_job(*other, false);
    }
    it.held_back_for = plan_job(std::move(candidate), true);
    return it;
}

} // namespace savorytrail::cell
