// The part of dispatcher that returns jobs to the entries of their callers, because other cells may
// serve them and this one cannot, or not in time.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/cell/dispatcher.h"
#include "core/cell/retained_executors.h"
#include "core/cell/start_forecast.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using common::time_point;

// Executors that miss one report or are claimed anew are back sooner than another cell could start
// the jobs that wait for them.
constexpr milliseconds tolerated_outage{150};
constexpr const char* no_executor_left = "no executor takes work any more";
constexpr const char* late_here = "it would be late here, and other cells may take it";

} // namespace

bool dispatcher::leave_drained(job_list::iterator job) {
    const bool is_running =
        std::any_of(job->tasks().begin(), job->tasks().end(),
                    [](const task_record& it) { return it.state == task_state::active; });
    // A run may be the last that its job needs, or end within the grace.
    if (is_running || !job->has_waiting() || m_starter.may_start_later(*job)) {
        return false;
    }
    auto outcome =
        given_up_outcome(*job, refusal_cause::no_executors, "its failure domain is drained");
    outcome.lacked_executors = outcome.end == work::job_end::not_run;
    close(job, outcome);
    return true;
}

void dispatcher::return_stranded_jobs(bool has_capacity, time_point now) {
    const auto& executors = m_executor_manager.executors();
    if (has_capacity) {
        m_had_capacity_at = now;
    }
    const bool is_outage = now - m_had_capacity_at > tolerated_outage;
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        const auto job = it++;
        if (job->may_have_run() || !job->has_waiting()) {
            continue;
        }
        if (is_outage) {
            auto outcome = given_up_outcome(*job, refusal_cause::no_executors, no_executor_left);
            outcome.lacked_executors = true;
            close(job, outcome);
        } else if (m_had_capacity_at == now && !has_fitting_executors(job->job(), executors)) {
            give_up(job, refusal_cause::none_fits, "no executor is large enough any more");
        }
    }
}

std::set<std::string> dispatcher::executors_for_begun_jobs() const {
    return cell::executors_for_begun_jobs(m_jobs, m_executor_manager.executors());
}

bool dispatcher::would_be_late(const job_record& candidate) const {
    const auto now = m_clock.now();
    const auto candidate_rank = rank_of(candidate, now);
    std::vector<std::pair<rank, const job_record*>> order;
    for (const auto& it : m_jobs) {
        if (const auto its_rank = rank_of(it, now);
            it.has_waiting() && may_start(it) && its_rank < candidate_rank) {
            order.emplace_back(its_rank, &it);
        }
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<const job_record*> ahead;
    ahead.reserve(order.size());
    for (const auto& [its_rank, it] : order) {
        ahead.push_back(it);
    }
    const auto start = forecast_start(candidate, ahead, m_executor_manager.executors(), now);
    return !start ||
           now + *start + candidate.job().critical_path_length() > candidate.on_time_until();
}

std::optional<work::outcome> dispatcher::return_if_late_here(const job_record& candidate,
                                                             const admission_view& view) {
    if (!m_limits.returns_late_jobs || !candidate.job().has_alternatives ||
        !would_be_late(candidate)) {
        return std::nullopt;
    }
    const auto detail = absl::StrCat(late_here, "; ", describe(view, room_of(candidate)));
    m_observer.job_event(candidate.job().id, "job_returned", detail);
    m_observer.count_refusal(refusal_cause::late_here);
    work::outcome it{work::job_end::not_run, late_here, retry_after()};
    it.would_be_late = true;
    return it;
}

bool dispatcher::return_late_job(job_list::iterator job) {
    if (!m_limits.returns_late_jobs || !job->job().has_alternatives || job->may_have_run() ||
        !job->has_waiting()) {
        return false;
    }
    auto outcome = given_up_outcome(*job, refusal_cause::late_here, late_here);
    outcome.would_be_late = true;
    close(job, outcome);
    return true;
}

} // namespace savorytrail::cell
