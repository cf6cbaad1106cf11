#include "stand_ins/users_platform/simulated_executor.h"

#include <algorithm>

namespace savorytrail::cell {

using work::order_status;

void simulated_executor::advance(common::time_point now) {
    if (!m_has_clock_origin) {
        m_has_clock_origin = true;
        m_clock_origin = now;
    }
    m_now = now;
    const auto passed =
        std::chrono::duration_cast<common::milliseconds>(now - m_clock_origin).count();
    const auto previous = m_clock;
    m_clock = static_cast<std::int64_t>(static_cast<double>(passed) * m_clock_rate);
    slow_down(m_clock - previous);
    if (crash_by_task(now)) {
        return;
    }
    std::vector<std::pair<work::task_id, work::run_end>> ended;
    for (const auto& [task, it] : m_running) {
        if (!is_stalled && it.ends_at <= std::min(m_clock, m_lease_until)) {
            ended.emplace_back(task, it.fails ? work::run_end::failed : work::run_end::done);
        } else if (m_lease_until < m_clock) {
            ended.emplace_back(task, work::run_end::lapsed);
        }
    }
    for (const auto& [task, kind] : ended) {
        end(task, kind);
    }
}

bool simulated_executor::crash_by_task(common::time_point now) {
    const auto deadly = std::find_if(m_running.begin(), m_running.end(), [this](const auto& it) {
        const auto& crashes_at = it.second.crashes_at;
        return crashes_at && *crashes_at <= std::min(m_clock, it.second.ends_at);
    });
    if (deadly == m_running.end()) {
        return false;
    }
    m_crashed_by.push_back(deadly->first);
    crash(now);
    return true;
}

void simulated_executor::set_capacity(const work::resources& it) {
    m_free += it;
    m_free -= m_info.capacity;
    m_info.capacity = it;
}

// A run slowed by a factor f gets 1 / f of the work done in the time that has passed, so its end
// moves by the rest.
void simulated_executor::slow_down(std::int64_t passed) {
    if (!interference || m_running.size() < 2 || passed <= 0) {
        return;
    }
    for (auto& [task, it] : m_running) {
        double factor = 1;
        for (const auto& [other_task, other] : m_running) {
            factor *= other_task == task ? 1 : interference(it.payload, other.payload);
        }
        const double delay = static_cast<double>(passed) * (1 - 1 / factor) + it.delay_ms;
        const auto whole = static_cast<std::int64_t>(delay);
        it.ends_at += whole;
        it.delay_ms = delay - static_cast<double>(whole);
    }
}

void simulated_executor::end(const work::task_id& task, work::run_end kind) {
    const auto it = m_running.find(task);
    const auto number = it->second.number;
    m_free += it->second.occupied;
    m_running.erase(it);
    m_last_ended_run[task] = std::max(m_last_ended_run[task], number);
    m_ended.push_back({m_next_sequence++, {task, number}, kind});
}

void simulated_executor::renew(std::int64_t until) {
    m_lease_until = std::max(m_lease_until, std::min(until, m_clock + longest_lease_ms));
}

work::order_reply simulated_executor::start(const start_order& order, const simulated_task& task) {
    if (order.fence < m_fence) {
        return {order_status::fenced, m_clock};
    }
    m_fence = order.fence;
    if (order.until_ms <= m_clock) {
        return {order_status::lease_expired, m_clock};
    }
    renew(order.until_ms);
    if (const auto it = m_running.find(order.run.task); it != m_running.end()) {
        return {it->second.number == order.run.number ? order_status::accepted
                                                      : order_status::outdated,
                m_clock};
    }
    if (const auto it = m_last_ended_run.find(order.run.task);
        it != m_last_ended_run.end() && order.run.number <= it->second) {
        return {order_status::outdated, m_clock};
    }
    if (rejects_overload && !m_free.covers(task.occupied)) {
        return {order_status::insufficient_resources, m_clock};
    }
    m_free -= task.occupied;
    highest_excess.cpu_millis = std::max(highest_excess.cpu_millis, -m_free.cpu_millis);
    highest_excess.memory_mb = std::max(highest_excess.memory_mb, -m_free.memory_mb);
    const auto duration =
        static_cast<std::int64_t>(static_cast<double>(task.work.count()) * slowdown);
    m_running[order.run.task] = {order.run.number, m_clock + duration,
                                 task.fails,       task.occupied,
                                 order.fence,      m_now,
                                 order.payload,    0,
                                 std::nullopt};
    if (task.crashes_after) {
        m_running[order.run.task].crashes_at = m_clock + task.crashes_after->count();
    }
    return {order_status::accepted, m_clock};
}

work::order_reply simulated_executor::stop(const stop_order& order) {
    if (order.fence < m_fence) {
        return {order_status::fenced, m_clock};
    }
    m_fence = order.fence;
    auto& last_ended_run = m_last_ended_run[order.run.task];
    last_ended_run = std::max(last_ended_run, order.run.number);
    if (const auto it = m_running.find(order.run.task);
        it != m_running.end() && it->second.number <= order.run.number) {
        end(order.run.task, work::run_end::stopped);
    }
    return {order_status::accepted, m_clock};
}

work::run_report simulated_executor::current_report() const {
    work::run_report report;
    report.clock_ms = m_clock;
    report.start_time_ms = m_start_time_ms;
    for (const auto& [task, it] : m_running) {
        report.running.push_back({task, it.number});
    }
    report.ended = m_ended;
    return report;
}

std::pair<order_status, work::run_report>
simulated_executor::report(const report_request& request) {
    if (request.fence < m_fence) {
        return {order_status::fenced, {}};
    }
    m_fence = request.fence;
    if (request.until_ms) {
        renew(*request.until_ms);
    }
    std::erase_if(m_ended, [&](const auto& it) { return it.sequence <= request.acknowledged; });
    return {order_status::accepted, current_report()};
}

void simulated_executor::crash(common::time_point now) {
    m_clock_origin = now;
    m_clock = 0;
    m_down_until = now + down_time;
    m_start_time_ms++;
    m_info.start_time_ms = m_info.start_time_ms == 0 ? 0 : m_start_time_ms;
    m_info.is_draining = false;
    m_fence = 0;
    m_lease_until = 0;
    m_next_sequence = 1;
    m_free = m_info.capacity;
    m_running.clear();
    m_last_ended_run.clear();
    m_ended.clear();
}

} // namespace savorytrail::cell
