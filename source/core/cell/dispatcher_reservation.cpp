// The part of dispatcher that holds jobs back for more urgent ones, see room_reservation.h.
#include <algorithm>
#include <chrono>

#include "core/cell/dispatcher.h"
#include "core/cell/placement.h"

namespace savorytrail::cell {

using common::milliseconds;
using common::time_point;

void dispatcher::note_contention(time_point now) {
    auto levels = m_reservation.contended_levels(now);
    if (levels == m_contended_levels) {
        return;
    }
    const auto note_missing = [&](const std::vector<int>& from, const std::vector<int>& in,
                                  bool is_on) {
        for (const int it : from) {
            if (std::find(in.begin(), in.end(), it) == in.end()) {
                m_observer.contention_changed(it, is_on);
            }
        }
    };
    note_missing(m_contended_levels, levels, false);
    note_missing(levels, m_contended_levels, true);
    m_contended_levels = std::move(levels);
}

void dispatcher::begin_reservation_pass(room_reservation& reservation,
                                        const cell_load& free) const {
    reservation.begin_pass(static_cast<double>(free.usable_cpu_millis),
                           static_cast<double>(free.capacity_cpu_millis));
    for (const auto& it : m_jobs) {
        reservation.add_use(it.job().queue.priority, it.active_cpu_millis());
    }
}

bool dispatcher::is_held_back(job_record& job, time_point now) {
    const auto level = m_reservation.must_wait_for(job, job.waiting_cpu_millis(), now);
    if (!level) {
        if (job.held_back) {
            job.held_back->is_in_force = false;
        }
        return false;
    }
    if (!job.held_back) {
        job.held_back = hold{now, *level};
        m_observer.job_event(job.job().id, "job_held_back",
                             "for jobs of priority " + std::to_string(*level));
    }
    job.held_back->is_in_force = true;
    return true;
}

void dispatcher::end_hold(job_record& job) {
    if (job.held_back) {
        const auto held =
            std::chrono::duration_cast<milliseconds>(m_clock.now() - job.held_back->since);
        m_observer.hold_ended(job.held_back->for_priority, held);
        job.held_back.reset();
    }
}

bool dispatcher::lacks_only_free_capacity(const job_record& job) const {
    const auto& executors = m_executor_manager.executors();
    return std::any_of(job.tasks().begin(), job.tasks().end(), [&](const task_record& task) {
        if (task.state != task_state::waiting || task.is_withheld ||
            m_stopping_runs.contains(job.id_of(task))) {
            return false;
        }
        const auto& step = job.step_of(task);
        return std::any_of(executors.begin(), executors.end(), [&](const auto& it) {
            const auto& info = it.second->info;
            return it.second->state == claim_state::held && !it.second->is_drained &&
                   is_eligible(step, job.job().queue.upstream, info) &&
                   info.capacity.covers(step.task_resources);
        });
    });
}

} // namespace savorytrail::cell
