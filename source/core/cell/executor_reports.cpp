// The part of executor_manager that requests the reports of executors and processes them.
#include <algorithm>

#include "core/cell/executor_manager.h"

namespace savorytrail::cell {

using common::milliseconds;
using work::order_status;

namespace {

// Interval of reports while runs of earlier holders are being stopped.
constexpr milliseconds claim_poll_interval{25};

// Whether the run has taken half as long again as expected, or longer: predictions are rough.
bool is_past_expected_end(const run_record& run, common::time_point now) {
    return run.state == run_state::running && run.expected.count() > 0 &&
           now > run.started_at + run.expected * 3 / 2;
}

} // namespace

void executor_manager::request_report(executor_record& it, milliseconds wait) {
    report_request request;
    request.number = m_next_report++;
    request.fence = it.fence;
    request.acknowledged = it.acknowledged;
    request.wait = wait;
    const bool renews = it.state == claim_state::held && !was_suspended() &&
                        !m_stalls.is_catching_up() && !it.is_unresponsive() &&
                        it.clock.is_known() && it.foreign_runs.empty() && it.has_ongoing_run();
    if (const auto until = renews ? next_lease_end(it) : 0; until > it.lease_until) {
        request.until_ms = until;
        note_grant(it, until);
    }
    it.pending_reports.push_back({request.number, m_clock.now(), wait});
    m_orders.ask_report(it.info, request);
}

void executor_manager::request_next_report(executor_record& it) {
    if (!it.pending_reports.empty() || it.state == claim_state::lost) {
        return;
    }
    if (it.state == claim_state::claiming || !it.foreign_runs.empty()) {
        request_report(it, it.foreign_runs.empty() ? milliseconds(0) : claim_poll_interval);
        return;
    }
    if (it.is_unresponsive()) {
        request_report(it, milliseconds(0)); // answered at once if the executor is reachable
        return;
    }
    request_report(it, it.runs.empty() ? m_limits.idle_report_wait : m_limits.report_wait);
}

void executor_manager::hedge_report_if_due(executor_record& it) {
    if (!m_limits.hedges_reports || it.runs.empty() || it.state != claim_state::held ||
        it.is_unresponsive() || it.pending_reports.size() != 1) {
        return;
    }
    const auto now = m_clock.now();
    const auto& pending = it.pending_reports.front();
    const bool is_overdue = now - pending.sent_at > pending.wait + m_limits.hedge_slack;
    const bool may_be_lost =
        now - pending.sent_at > m_limits.hedge_slack &&
        std::any_of(it.runs.begin(), it.runs.end(), [&](const auto& entry) {
            return !entry.second.is_end_asked_for && is_past_expected_end(entry.second, now);
        });
    if (!is_overdue && !may_be_lost) {
        return;
    }
    for (auto& [key, run] : it.runs) {
        run.is_end_asked_for = run.is_end_asked_for || is_past_expected_end(run, now);
    }
    request_report(it, milliseconds(0));
}

void executor_manager::on_report(const std::string& executor, std::uint64_t number,
                                 order_status status, const work::run_report& report) {
    auto* it = find(executor);
    if (it == nullptr) {
        return;
    }
    const auto pending = std::find_if(it->pending_reports.begin(), it->pending_reports.end(),
                                      [&](const auto& p) { return p.number == number; });
    if (pending == it->pending_reports.end()) {
        return;
    }
    const pending_report request = *pending;
    it->pending_reports.erase(pending);
    if (status != work::order_status::accepted) {
        if (status == order_status::no_answer && request.sent_at < it->answered_request_at) {
            request_next_report(*it); // lost on the way: the executor has answered since
            return;
        }
        on_report_failure(*it, status);
        return;
    }
    it->answered_request_at = std::max(it->answered_request_at, request.sent_at);
    if (it->missed_reports > 0) {
        m_observer.executor_changed(executor, "executor_answers",
                                    "a report arrived after missed ones");
    }
    it->missed_reports = 0;
    it->reported_at = m_clock.now();
    apply_report(*it, request, report);
    note_answer(*it);
    request_next_report(*it);
    m_listener->on_resources_freed();
}

void executor_manager::on_report_failure(executor_record& it, order_status status) {
    const auto now = m_clock.now();
    note_contact(it, status);
    it.next_report_request =
        now + (it.missed_reports == 0 ? milliseconds(0) : m_limits.unresponsive_retry);
    switch (status) {
    case work::order_status::fenced:
        if (it.state == claim_state::claiming) {
            on_claim_rejected(it);
        } else {
            lose_claim(it, higher_fence);
        }
        return;
    case work::order_status::wrong_executor:
        // The process that executed the runs has exited.
        note_crash(it, it.connection_lost_at.value_or(now));
        finish_all_runs(it, loss_cause::executor_restarted);
        it.next_report_request = now + m_limits.unresponsive_retry;
        it.missed_reports++;
        return;
    default:
        break;
    }
    it.missed_reports++;
    if (it.missed_reports == 1) {
        m_observer.executor_changed(it.info.id, "executor_silent",
                                    "a report did not arrive in time");
        request_next_report(it);
    }
}

void executor_manager::apply_report(executor_record& it, const pending_report& request,
                                    const work::run_report& report) {
    const auto now = m_clock.now();
    if (report.start_time_ms != 0 && it.start_time_ms != 0 &&
        report.start_time_ms != it.start_time_ms) {
        m_observer.executor_changed(it.info.id, "executor_reborn", "the executor restarted");
        note_crash(it, it.connection_lost_at.value_or(now));
        it.clock.reset();
        it.acknowledged = 0;
        // Orders in flight may have reached the new process, with leases by the old clock; the
        // executor grants them at most its longest lease.
        it.lease_until = report.clock_ms + m_limits.longest_lease.count();
    }
    const bool is_same_process =
        report.start_time_ms != 0 && it.start_time_ms == report.start_time_ms;
    if (is_same_process && it.has_crashed) {
        note_crash_refuted(it);
    }
    if (report.start_time_ms != 0) {
        it.start_time_ms = report.start_time_ms;
    }
    it.is_grant_confirmed = it.is_grant_confirmed || request.sent_at >= it.granted_at;
    it.clock.observe(report.clock_ms, now);
    if (it.state == claim_state::claiming && it.is_adopted && !report.running.empty()) {
        // Runs are still being renewed: the previous holder is alive, and will claim it back.
        lose_claim(it, "it was taken for left, but is in use");
        return;
    }
    apply_ended_runs(it, report);
    apply_running_runs(it, request, report);
    if (it.state == claim_state::claiming && it.foreign_runs.empty()) {
        set_state(it, claim_state::held);
        it.rejected_claims = 0;
        m_observer.executor_changed(it.info.id, "executor_held",
                                    "no runs of other holders are left there");
    }
}

void executor_manager::apply_ended_runs(executor_record& it, const work::run_report& report) {
    for (const auto& end : report.ended) {
        if (end.sequence <= it.acknowledged) {
            continue;
        }
        it.acknowledged = end.sequence;
        switch (end.kind) {
        case work::run_end::done:
            finish_run(it, end.run, {run_result::done});
            break;
        case work::run_end::failed:
            finish_run(it, end.run, {run_result::failed});
            break;
        default:
            finish_lost_run(it, end.run, loss_cause::ended_by_executor);
            break;
        }
    }
}

void executor_manager::apply_running_runs(executor_record& it, const pending_report& request,
                                          const work::run_report& report) {
    const auto now = m_clock.now();
    const std::set<work::run_key> running(report.running.begin(), report.running.end());
    it.foreign_runs.clear();
    for (const auto& key : running) {
        if (const auto found = it.runs.find(key); found == it.runs.end()) {
            it.foreign_runs.insert(key);
        } else if (found->second.state == run_state::starting) {
            found->second.state = run_state::running;
            found->second.confirmed_at = now;
        }
    }
    std::vector<work::run_key> vanished;
    for (const auto& [key, run] : it.runs) {
        if (running.contains(key)) {
            continue;
        }
        const bool was_running =
            run.state == run_state::running && run.confirmed_at < request.sent_at;
        const bool was_stopped =
            run.stop_acknowledged_at && *run.stop_acknowledged_at < request.sent_at;
        if (was_running || was_stopped) {
            vanished.push_back(key);
        }
    }
    const bool has_restarted = report.start_time_ms != 0 && it.has_crashed;
    for (const auto& key : vanished) {
        finish_lost_run(it, key,
                        has_restarted ? loss_cause::executor_restarted : loss_cause::vanished);
    }
    for (const auto& key : it.foreign_runs) {
        m_orders.stop(it.info, {key, it.fence});
    }
}

} // namespace savorytrail::cell
