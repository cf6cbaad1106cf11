// The part of dispatcher that keeps account of those who wait for a job, and of how long it may go
// on for them.
#include <algorithm>

#include "core/cell/dispatcher.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using common::time_point;

constexpr const char* unrenewed = "its entry does not confirm that the caller still waits";

} // namespace

work::outcome dispatcher::outcome_of_replaced() {
    return {work::job_end::given_up, "its caller has sent it again", {}};
}

time_point dispatcher::removal_time(time_point held_until) const {
    return held_until - m_limits.stop_lead;
}

waiter dispatcher::make_leased_waiter(time_point held_until, done_callback done) const {
    waiter it;
    it.done = std::move(done);
    it.held_until = held_until;
    it.remove_at =
        std::max(removal_time(held_until), m_clock.now() + m_limits.first_renewal_timeout);
    return it;
}

void dispatcher::renew(const std::string& job, std::uint64_t ticket, time_point held_until) {
    const auto open = find(job);
    if (open == m_jobs.end()) {
        return;
    }
    const bool could_start = may_start(*open);
    for (auto& it : open->waiters) {
        if (it.ticket == ticket) {
            it.held_until = std::max(it.held_until, held_until);
            it.remove_at = std::max(it.remove_at, removal_time(held_until));
        }
    }
    if (held_until > m_clock.now()) {
        remove_earlier_waiters(*open, ticket);
    }
    if (!could_start && may_start(*open) && open->has_waiting()) {
        on_resources_freed();
    }
}

void dispatcher::abandon(std::uint64_t ticket) {
    for (auto job = m_jobs.begin(); job != m_jobs.end(); ++job) {
        auto& waiters = job->waiters;
        const auto it = std::find_if(waiters.begin(), waiters.end(),
                                     [&](const waiter& w) { return w.ticket == ticket; });
        if (it == waiters.end()) {
            continue;
        }
        const auto runs_end_by = end_of_runs(*job);
        waiters.erase(it);
        if (waiters.empty()) {
            m_observer.job_event(job->job().id, "job_abandoned", "its caller has left");
            close(job, {}, runs_end_by);
        }
        return;
    }
}

void dispatcher::remove_earlier_waiters(job_record& job, std::uint64_t ticket) {
    std::vector<waiter> removed;
    std::erase_if(job.waiters, [&](waiter& it) {
        const bool is_earlier = it.ticket < ticket;
        if (is_earlier) {
            removed.push_back(std::move(it));
        }
        return is_earlier;
    });
    for (const auto& it : removed) {
        it.done(outcome_of_replaced());
    }
}

bool dispatcher::remove_unrenewed_waiters(job_list::iterator job, time_point now) {
    auto& waiters = job->waiters;
    const auto rest = std::stable_partition(waiters.begin(), waiters.end(),
                                            [now](const waiter& it) { return now < it.remove_at; });
    if (rest == waiters.end()) {
        return false;
    }
    if (rest == waiters.begin()) {
        give_up(job, refusal_cause::not_renewed, unrenewed);
        return true;
    }
    const std::vector<waiter> removed(std::make_move_iterator(rest),
                                      std::make_move_iterator(waiters.end()));
    waiters.erase(rest, waiters.end());
    m_observer.job_event(job->job().id, "job_lease_ended", unrenewed);
    for (const auto& it : removed) {
        it.done({work::job_end::given_up, unrenewed, retry_after()});
    }
    return false;
}

bool dispatcher::may_start(const job_record& job) const {
    // A run that starts gets the lease that its executor has for others.
    return job.held_until() - m_clock.now() > executor_clock::longest(m_limits.lease);
}

time_point dispatcher::may_run_until(const work::run_key& run) const {
    const auto job = m_by_id.find(run.task.job);
    return job == m_by_id.end() ? time_point::min() : job->second->held_until();
}

} // namespace savorytrail::cell
