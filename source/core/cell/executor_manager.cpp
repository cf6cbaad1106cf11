#include "core/cell/executor_manager.h"

#include <algorithm>

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using work::order_status;

// Delay until an unacknowledged stop order is resent.
constexpr milliseconds stop_retry{200};
// A stop order that has had no answer for longer is logged.
constexpr milliseconds unanswered_stop_logged_after{500};
// Delay before the next start on an executor that rejected one for insufficient resources.
constexpr milliseconds insufficient_resources_delay{60};

} // namespace

executor_manager::executor_manager(limits by, const common::clock& clock, order_sink& orders,
                                   fence_source fences, executor_observer& observer)
    : m_limits(by), m_clock(clock), m_orders(orders), m_fences(std::move(fences)),
      m_observer(observer), m_stalls(clock, by.catch_up_after) {}

executor_record* executor_manager::find(const std::string& executor) {
    const auto it = m_executors.find(executor);
    return it == m_executors.end() ? nullptr : it->second.get();
}

void executor_manager::assign(const std::vector<work::executor_info>& executors,
                              const std::set<std::string>& adopted) {
    std::set<std::string> assigned;
    for (const auto& info : executors) {
        assigned.insert(info.id);
        auto& slot = m_executors[info.id];
        if (!slot) {
            slot =
                std::make_unique<executor_record>(info, m_limits, m_fences(claim_attempt::first));
            slot->is_adopted = adopted.contains(info.id);
            slot->cold_until = m_clock.now() + info.cold_left;
            apply_drains(*slot);
            claim(*slot);
            continue;
        }
        if (slot->info.address != info.address) {
            m_orders.forget(slot->info);
        }
        const bool is_known = slot->info.cold_left == info.cold_left &&
                              slot->info.start_time_ms == info.start_time_ms;
        if (!is_known) {
            slot->cold_until = m_clock.now() + info.cold_left;
        }
        slot->info = info;
        slot->is_retiring = false;
        slot->is_kept_for_begun_jobs = false;
        apply_drains(*slot);
        slot->is_adopted = adopted.contains(info.id);
    }
    for (auto& [id, record] : m_executors) {
        if (!assigned.contains(id) && !record->is_retiring) {
            record->is_retiring = true;
            record->retiring_since = m_clock.now();
        }
    }
    m_listener->on_resources_freed();
}

void executor_manager::note_unlisted(const std::string& executor) {
    if (auto* it = find(executor)) {
        it->info.is_draining = true; // until it is listed again
    }
}

void executor_manager::apply_drains(executor_record& it) const {
    if (m_drains == nullptr) {
        return;
    }
    const auto grace_until = m_drains->grace_until(it.info.failure_domain);
    it.is_drained = grace_until || !m_drains->is_known();
    it.drain_grace_until = grace_until.value_or(common::time_point::min());
}

void executor_manager::on_drains_changed() {
    for (auto& [id, record] : m_executors) {
        apply_drains(*record);
    }
    m_listener->on_resources_freed();
}

bool executor_manager::has_drained() const {
    return std::any_of(m_executors.begin(), m_executors.end(),
                       [](const auto& it) { return it.second->is_drained; });
}

std::size_t executor_manager::drained_runs() const {
    std::size_t sum = 0;
    for (const auto& [id, it] : m_executors) {
        sum += it->is_drained ? it->runs.size() : 0;
    }
    return sum;
}

std::vector<std::string> executor_manager::held() const {
    std::vector<std::string> list;
    for (const auto& [id, record] : m_executors) {
        if (record->state == claim_state::held) {
            list.push_back(id);
        }
    }
    return list;
}

void executor_manager::set_state(executor_record& it, claim_state state) {
    it.state = state;
    m_claims_version++;
}

bool executor_manager::can_start_runs() const {
    return !was_suspended() && !m_stalls.is_catching_up();
}

bool executor_manager::start(const std::string& executor, const work::run_key& run,
                             const run_plan& plan) {
    auto* it = find(executor);
    if (it == nullptr || !can_start_runs() || !it->accepts_work(m_clock.now()) ||
        !it->free().covers(plan.occupied)) {
        return false;
    }
    const bool is_isolated = plan.isolated_for > milliseconds(0);
    if (is_isolated && !it->runs.empty()) {
        return false;
    }
    run_record record;
    record.occupied = plan.occupied;
    record.payload = plan.payload;
    record.time_limit = plan.time_limit;
    record.expected = plan.expected;
    record.started_at = m_clock.now();
    record.process = it->start_time_ms;
    if (is_isolated) {
        record.isolated_until = m_clock.now() + plan.isolated_for;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(
        std::min(m_listener->may_run_until(run), m_clock.now() + m_limits.longest_lease) -
        m_clock.now());
    if (it->lease_until > it->clock.end_of_lease(m_clock.now(), left)) {
        return false; // it would run on with the lease that others have there
    }
    it->used += plan.occupied;
    const auto added = it->runs.emplace(run, std::move(record)).first;
    send_start(*it, run, added->second);
    return true;
}

void executor_manager::send_start(executor_record& it, const work::run_key& key,
                                  const run_record& run) {
    start_order order;
    order.run = key;
    order.payload = run.payload;
    order.until_ms = next_lease_end(it);
    order.fence = it.fence;
    order.process = run.process;
    order.is_repeat = run.starts_sent > 1;
    note_grant(it, order.until_ms);
    m_orders.start(it.info, order);
}

bool executor_manager::may_resend_start(const executor_record& it, const run_record& run) const {
    return run.state == run_state::starting && run.starts_sent == 1 &&
           run.process == it.start_time_ms && can_start_runs() &&
           it.obstacle_to_orders() == work_obstacle::none && !it.is_drained;
}

void executor_manager::resend_start(executor_record& it, const work::run_key& key,
                                    run_record& run) {
    run.starts_sent++;
    send_start(it, key, run);
}

void executor_manager::stop(const std::string& executor, const work::run_key& run,
                            common::time_point ends_by) {
    auto* it = find(executor);
    if (it == nullptr) {
        return;
    }
    const auto found = it->runs.find(run);
    if (found == it->runs.end()) {
        return;
    }
    found->second.ends_by = ends_by;
    if (found->second.state != run_state::stopping) {
        send_stop(*it, run, found->second);
    }
}

void executor_manager::send_stop(executor_record& it, const work::run_key& key, run_record& run) {
    run.state = run_state::stopping;
    run.stop_sent_at = m_clock.now();
    run.stop_first_sent_at = run.stop_first_sent_at.value_or(*run.stop_sent_at);
    if (it.state == claim_state::lost) {
        return; // the new holder stops the run, or its lease expires
    }
    m_orders.stop(it.info, {key, it.fence});
}

void executor_manager::note_unanswered_stop(const executor_record& it, const work::run_key& key,
                                            run_record& run) {
    if (run.state != run_state::stopping || run.stop_acknowledged_at ||
        run.is_stop_logged_as_unanswered || !run.stop_first_sent_at) {
        return;
    }
    const auto age =
        std::chrono::duration_cast<milliseconds>(m_clock.now() - *run.stop_first_sent_at);
    if (age < unanswered_stop_logged_after) {
        return;
    }
    run.is_stop_logged_as_unanswered = true;
    m_observer.executor_changed(it.info.id, "stop_unanswered",
                                "job " + key.task.job + ", step " + std::to_string(key.task.step) +
                                    ", task " + std::to_string(key.task.index) + ", run " +
                                    std::to_string(key.number) + ": for " +
                                    std::to_string(age.count()) + " ms");
}

void executor_manager::note_failure(const std::string& executor, bool is_first) {
    if (auto* it = find(executor)) {
        const auto now = m_clock.now();
        const bool was_quarantined = it->health.is_quarantined(now);
        it->health.note_failure(is_first, now);
        if (!was_quarantined && it->health.is_quarantined(now)) {
            m_observer.executor_changed(executor, "executor_rested", "runs failed in a row");
        }
    }
}

void executor_manager::note_pace(const std::string& executor, executor_speeds::change change) {
    auto* it = find(executor);
    if (it == nullptr) {
        return;
    }
    switch (change) {
    case executor_speeds::change::turned_slow:
        m_observer.executor_changed(executor, "executor_slowed",
                                    "runs of several jobs took far longer than usual there");
        break;
    case executor_speeds::change::speed_regained:
        m_observer.executor_changed(executor, "executor_speed_regained",
                                    "a run took as long as usual there");
        return;
    case executor_speeds::change::speed_accepted:
        m_observer.executor_changed(executor, "executor_speed_accepted",
                                    "it was slow for so many runs that its speed is learnt anew");
        return;
    case executor_speeds::change::none:
        break;
    }
    it->health.put_on_probation();
}

void executor_manager::finish_run(executor_record& it, const work::run_key& key,
                                  const run_outcome& outcome) {
    const auto found = it.runs.find(key);
    if (found == it.runs.end()) {
        return;
    }
    const auto& run = found->second;
    if (outcome.result == run_result::done && run.state == run_state::running) {
        it.health.note_success();
        m_listener->on_run_duration(
            key, it.info, std::chrono::duration_cast<milliseconds>(m_clock.now() - run.started_at));
    }
    it.used -= run.occupied;
    it.runs.erase(found);
    m_listener->on_run_ended(key, it.info.id, outcome);
}

void executor_manager::finish_lost_run(executor_record& it, const work::run_key& key,
                                       loss_cause cause) {
    finish_run(it, key, {run_result::lost, order_status::accepted, cause});
}

void executor_manager::finish_all_runs(executor_record& it, loss_cause cause) {
    std::vector<work::run_key> keys;
    keys.reserve(it.runs.size());
    for (const auto& [key, run] : it.runs) {
        keys.push_back(key);
    }
    for (const auto& key : keys) {
        finish_lost_run(it, key, cause);
    }
}

void executor_manager::on_start_reply(const std::string& executor, const work::run_key& run,
                                      const work::order_reply& reply) {
    auto* it = find(executor);
    if (it == nullptr) {
        return;
    }
    const auto now = m_clock.now();
    const auto found = it->runs.find(run);
    if (found != it->runs.end() && reply.status == order_status::accepted) {
        found->second.is_of_known_process = is_of_known_process(*it, found->second, reply);
    }
    if (reply.clock_ms) {
        it->clock.observe(*reply.clock_ms, now);
    }
    if (reply.status == order_status::fenced) {
        lose_claim(*it, higher_fence);
    }
    note_contact(*it, reply.status);
    if (found == it->runs.end()) {
        return;
    }
    auto& record = found->second;
    const bool is_only_copy = record.starts_sent == 1;
    switch (reply.status) {
    case order_status::accepted:
        if (record.state == run_state::starting) {
            record.state = run_state::running;
            record.confirmed_at = now;
        }
        return;
    case order_status::no_answer:
    case order_status::connection_lost:
        record.starts_unanswered++;
        if (may_resend_start(*it, record)) {
            resend_start(*it, run, record);
        } else if (record.state == run_state::starting &&
                   record.starts_unanswered == record.starts_sent) {
            send_stop(*it, run, record);
        }
        return;
    default:
        break;
    }
    if (reply.status == order_status::insufficient_resources) {
        it->resources_exhausted_until = now + insufficient_resources_delay;
    }
    if (reply.status == order_status::other_process) {
        distrust(*it);
    }
    if (is_only_copy) {
        finish_run(*it, run, {run_result::refused, reply.status});
        m_listener->on_resources_freed();
        return;
    }
    // An earlier copy may have been executed; only a stop order settles it.
    if (record.state == run_state::starting) {
        send_stop(*it, run, record);
    }
}

void executor_manager::distrust(executor_record& it) {
    if (it.is_unresponsive()) {
        return;
    }
    it.missed_reports = 1;
    m_observer.executor_changed(it.info.id, "executor_replaced",
                                "another process answered before a start order");
    request_report(it, milliseconds(0));
}

void executor_manager::on_stop_reply(const std::string& executor, const work::run_key& run,
                                     const work::order_reply& reply) {
    auto* it = find(executor);
    if (it == nullptr) {
        return;
    }
    if (reply.clock_ms) {
        it->clock.observe(*reply.clock_ms, m_clock.now());
    }
    if (reply.status == order_status::fenced) {
        lose_claim(*it, higher_fence);
        return;
    }
    const auto found = it->runs.find(run);
    if (found == it->runs.end()) {
        return;
    }
    if (reply.status == order_status::accepted || reply.status == order_status::outdated) {
        if (!found->second.stop_acknowledged_at) {
            found->second.stop_acknowledged_at = m_clock.now();
        }
        request_report(*it, milliseconds(0));
    }
}

void executor_manager::renew_if_due(executor_record& it) {
    if (!it.has_ongoing_run() || it.state != claim_state::held || it.is_unresponsive() ||
        !it.foreign_runs.empty()) {
        return;
    }
    const auto now = m_clock.now();
    const auto left = it.lease_until - it.clock.estimate(now);
    if (left >= m_limits.renew_below.count() || next_lease_end(it) <= it.lease_until) {
        return;
    }
    const bool is_request_pending =
        std::any_of(it.pending_reports.begin(), it.pending_reports.end(), [&](const auto& p) {
            return p.wait == milliseconds(0) && now - p.sent_at < m_limits.order_timeout;
        });
    if (!is_request_pending) {
        request_report(it, milliseconds(0));
    }
}

void executor_manager::check_runs(executor_record& it) {
    const auto now = m_clock.now();
    std::vector<work::run_key> expired;
    for (auto& [key, run] : it.runs) {
        note_unanswered_stop(it, key, run);
        if (m_limits.repeats_starts_early && may_resend_start(it, run) &&
            now - run.started_at > m_limits.hedge_slack) {
            resend_start(it, key, run); // the executor's answer to the first may be lost
        }
        const bool is_overdue =
            run.state == run_state::running && now - run.started_at > run.time_limit;
        if (is_overdue && !it.has_crashed) {
            m_observer.executor_changed(it.info.id, "executor_rested", "a run is overdue");
            it.health.note_overdue(now);
            send_stop(it, key, run);
        } else if (run.state == run_state::stopping && !run.stop_acknowledged_at &&
                   run.stop_sent_at && now - *run.stop_sent_at > stop_retry) {
            send_stop(it, key, run);
        }
        if (has_lease_expired(it, run)) {
            expired.push_back(key);
        }
    }
    const auto cause = it.has_crashed ? loss_cause::executor_crashed : loss_cause::lease_expired;
    for (const auto& key : expired) {
        finish_lost_run(it, key, cause);
    }
}

void executor_manager::check_executor(executor_record& it) {
    const auto now = m_clock.now();
    check_runs(it);
    renew_if_due(it);
    hedge_report_if_due(it);
    reclaim_if_due(it);
    if (it.pending_reports.empty() && now >= it.next_report_request) {
        request_next_report(it);
    }
}

bool executor_manager::was_suspended() const {
    return m_stalls.suspended_since_last_tick() > m_limits.tolerated_suspension ||
           m_stalls.since_last_tick() > m_limits.tolerated_stall;
}

void executor_manager::on_wake_up() {
    for (auto& [id, record] : m_executors) {
        record->pending_reports.clear(); // their answers may describe a state before the suspension
        record->missed_reports = std::max(record->missed_reports, 1);
        record->next_report_request = m_clock.now();
        for (auto& [key, run] : record->runs) {
            if (run.ends_by) {
                run.ends_by = std::min(*run.ends_by, m_clock.now());
            }
        }
    }
    m_listener->on_suspended();
}

void executor_manager::tick() {
    if (was_suspended()) {
        on_wake_up();
    }
    m_stalls.tick();
    for (auto& [id, record] : m_executors) {
        check_executor(*record);
    }
    release_retiring();
    m_listener->on_resources_freed();
}

void executor_manager::release_retiring() {
    const bool has_retiring = std::any_of(m_executors.begin(), m_executors.end(),
                                          [](const auto& it) { return it.second->is_retiring; });
    if (!has_retiring) {
        return;
    }
    const auto needed = m_listener->executors_for_begun_jobs();
    std::vector<std::string> released;
    for (auto& [id, record] : m_executors) {
        if (record->is_retiring && !keep_for_begun_jobs(*record, needed.contains(id)) &&
            record->runs.empty()) {
            released.push_back(id);
        }
    }
    for (const auto& id : released) {
        release(id);
    }
}

bool executor_manager::keep_for_begun_jobs(executor_record& it, bool is_needed) {
    const bool is_kept = is_needed && m_clock.now() - it.retiring_since < m_limits.release_grace;
    if (is_kept && !it.is_kept_for_begun_jobs) {
        m_observer.executor_changed(it.info.id, "executor_release_delayed",
                                    "jobs that have begun here need it");
    }
    it.is_kept_for_begun_jobs = is_kept;
    return is_kept;
}

void executor_manager::release(const std::string& executor) {
    auto& record = *m_executors.at(executor);
    m_observer.executor_changed(executor, "executor_let_go",
                                "assigned to another entry or removed");
    if (record.state == claim_state::held) {
        request_report(record, milliseconds(0)); // acknowledges the last ended runs
    }
    m_orders.forget(record.info);
    m_executors.erase(executor);
    m_claims_version++;
}

} // namespace savorytrail::cell
