#include "unit_tests/cell/simulated_cell.h"

#include <algorithm>

namespace savorytrail::cell {
namespace {

using common::milliseconds;

constexpr milliseconds one_way_delay{1};
constexpr milliseconds tick_period{40};
constexpr int executors_per_rack = 8;

int executor_number(const work::executor_info& it) {
    return std::stoi(it.id.substr(1));
}

} // namespace

simulated_cell::simulated_cell(std::uint64_t seed, const std::vector<work::resources>& capacities,
                               int holders, const limits& by)
    : m_random(seed) {
    for (int i = 0; i < static_cast<int>(capacities.size()); i++) {
        work::executor_info info;
        info.id = "e" + std::to_string(i);
        info.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)};
        info.failure_domain = "d";
        info.upstream = "u";
        info.capacity = capacities[i];
        info.labels = {"rack-" + std::to_string(i / executors_per_rack)};
        const double rate = 0.98 + 0.02 * static_cast<double>(m_random() % 100) / 100;
        m_executors.push_back(std::make_unique<simulated_executor>(info, rate));
    }
    for (int i = 0; i < holders; i++) {
        m_holders.push_back(std::make_unique<holder>(*this, i, by));
    }
    actual_run = [](const work::job& job, const work::task_id& task) {
        const auto& step = job.steps.at(task.step);
        return simulated_executor::simulated_task{step.task_resources, step.estimate, false};
    };
}

simulated_cell::~simulated_cell() = default;

std::vector<work::executor_info> simulated_cell::executor_infos() const {
    std::vector<work::executor_info> list;
    list.reserve(m_executors.size());
    for (const auto& it : m_executors) {
        list.push_back(it->info());
    }
    return list;
}

void simulated_cell::after(milliseconds delay, std::function<void()> work) {
    m_events.emplace(m_now + delay, std::move(work));
}

void simulated_cell::run_for(milliseconds time) {
    const auto end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto next = m_events.begin();
        m_now = std::max(m_now, next->first);
        const auto work = std::move(next->second);
        m_events.erase(next);
        advance_executors();
        work();
        check();
    }
    m_now = end;
}

void simulated_cell::advance_executors() {
    m_crashes_seen.resize(m_executors.size());
    for (std::size_t i = 0; i < m_executors.size(); i++) {
        m_executors[i]->advance(m_now);
        m_budget.count_crashes(*m_executors[i], m_crashes_seen[i]);
    }
}

std::string simulated_cell::trace_text() const {
    std::string text;
    for (const auto& line : trace) {
        text += "\n" + line;
    }
    return text;
}

void simulated_cell::note(const std::string& line) {
    if (is_tracing) {
        const auto ms = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
        trace.push_back(std::to_string(ms) + " " + line);
    }
}

void simulated_cell::check() {
    std::map<work::task_id, int> running;
    for (const auto& it : m_executors) {
        for (const auto& [task, run] : it->running()) {
            if (++running[task] == 2) {
                violations.push_back("two runs at once of " + task.job + " task " +
                                     std::to_string(task.index));
            }
        }
    }
}

simulated_cell::holder::holder(simulated_cell& cell, int number, const limits& by)
    : m_cell(cell), m_number(number),
      m_executor_manager(
          by, *this, *this,
          [this](claim_attempt) {
              return m_fence = std::max<std::int64_t>(
                         m_fence + 1000,
                         m_cell.m_now.time_since_epoch().count() / 1000000 * 8 + m_number);
          },
          *this),
      m_dispatcher(by, *this, m_executor_manager, *this) {
    m_cell.after(tick_period, [this] { tick(); });
}

common::time_point simulated_cell::holder::now() const {
    if (m_is_paused) {
        return m_cell.m_now - m_total_frozen;
    }
    return std::max(m_cell.m_now, m_frozen_until) - m_total_frozen;
}

void simulated_cell::holder::freeze(milliseconds time) {
    if (!is_running()) {
        return;
    }
    m_frozen_until = m_cell.m_now + time;
    m_total_frozen += time;
    m_is_paused = false;
}

void simulated_cell::holder::pause(milliseconds time) {
    if (is_running()) {
        m_frozen_until = m_cell.m_now + time;
        m_is_paused = true;
    }
}

void simulated_cell::holder::deliver(std::function<void()> work) {
    if (m_is_dead) {
        return;
    }
    if (m_cell.m_now < m_frozen_until) {
        const auto left = std::chrono::duration_cast<milliseconds>(m_frozen_until - m_cell.m_now);
        m_cell.after(left, [this, work = std::move(work)] { deliver(work); });
        return;
    }
    work();
}

void simulated_cell::holder::executor_changed(const std::string& executor, std::string_view event,
                                              std::string_view reason) {
    m_cell.note("holder " + std::to_string(m_number) + " " + executor + " " + std::string(event) +
                ": " + std::string(reason));
}

void simulated_cell::holder::job_event(const std::string& job, std::string_view event,
                                       const std::string& detail) {
    m_cell.note("holder " + std::to_string(m_number) + " " + job + " " + std::string(event) + ": " +
                detail);
}

void simulated_cell::holder::tick() {
    deliver([this] {
        m_executor_manager.tick();
        m_dispatcher.tick();
        m_cell.after(tick_period, [this] { tick(); });
    });
}

std::uint64_t simulated_cell::holder::submit(const work::job& job, done_callback done) {
    m_cell.m_jobs[job.id] = job;
    return m_dispatcher.submit(job, std::move(done));
}

std::uint64_t simulated_cell::holder::submit_leased(const work::job& job,
                                                    common::time_point held_until,
                                                    done_callback done) {
    m_cell.m_jobs[job.id] = job;
    return m_dispatcher.submit_leased(job, held_until, std::move(done));
}

void simulated_cell::holder::send(
    const work::executor_info& to, milliseconds timeout,
    const std::function<std::function<void()>(simulated_executor&)>& execute,
    const std::function<void(work::order_status)>& on_failure) {
    const int number = executor_number(to);
    auto& random = m_cell.m_random;
    const auto roll = static_cast<int>(random() % 1000);
    const auto& network = m_cell.faults;
    const bool is_lost = roll < network.lost_requests;
    const bool loses_answer = !is_lost && roll < network.lost_requests + network.lost_answers;
    const bool is_late =
        !is_lost && !loses_answer &&
        roll < network.lost_requests + network.lost_answers + network.late_requests;
    const auto is_answered = std::make_shared<bool>(false);
    if (!is_lost) {
        const auto delay =
            is_late ? milliseconds(2000 + static_cast<int>(random() % 10000)) : one_way_delay;
        // A late order waits in the executor's process and is dropped when the process restarts.
        const auto start_time_ms = m_cell.executor(number).current_report().start_time_ms;
        m_cell.after(delay, [=, this] {
            auto& executor = m_cell.executor(number);
            if (executor.current_report().start_time_ms != start_time_ms ||
                !executor.is_reachable || m_cell.partitions.contains({m_number, number})) {
                return;
            }
            const bool is_refused = executor.is_down();
            const auto answer = is_refused
                                    ? [=] { on_failure(work::order_status::connection_refused); }
                                    : execute(executor);
            if (is_late || loses_answer) {
                return;
            }
            m_cell.after(one_way_delay, [=, this] {
                deliver([=] {
                    if (!std::exchange(*is_answered, true)) {
                        answer();
                    }
                });
            });
        });
    }
    m_cell.after(timeout, [=, this] {
        deliver([=] {
            if (!std::exchange(*is_answered, true)) {
                on_failure(work::order_status::no_answer);
            }
        });
    });
}

void simulated_cell::holder::start(const work::executor_info& at, const start_order& order) {
    const auto job = m_cell.m_jobs.at(order.run.task.job);
    send(
        at, limits().order_timeout,
        [this, id = at.id, order, job](simulated_executor& it) -> std::function<void()> {
            const bool is_other_process =
                order.process != 0 && order.process != it.current_report().start_time_ms;
            const auto reply = is_other_process
                                   ? work::order_reply{work::order_status::other_process, {}}
                                   : it.start(order, m_cell.actual_run(job, order.run.task));
            const bool has_started = reply.status == work::order_status::accepted;
            m_cell.starts += has_started ? 1 : 0;
            if (has_started && m_cell.m_budget.note_start(order.run.task)) {
                m_cell.violations.push_back(
                    "started too often after three crashes: " + order.run.task.job + " task " +
                    std::to_string(order.run.task.index));
            }
            m_cell.note(id + " start " + order.run.task.job + " task " +
                        std::to_string(order.run.task.index) + " run " +
                        std::to_string(order.run.number) + " status " +
                        std::to_string(static_cast<int>(reply.status)) + " clock " +
                        std::to_string(reply.clock_ms.value_or(0)) + " until " +
                        std::to_string(order.until_ms) + " fence " + std::to_string(order.fence));
            return [this, id, order, reply] {
                m_executor_manager.on_start_reply(id, order.run, reply);
            };
        },
        [this, id = at.id, order](work::order_status failure) {
            m_executor_manager.on_start_reply(id, order.run, {failure, std::nullopt});
        });
}

void simulated_cell::holder::stop(const work::executor_info& at, const stop_order& order) {
    if (static_cast<int>(m_cell.m_random() % 1000) < m_cell.faults.lost_stops) {
        return;
    }
    send(
        at, limits().order_timeout,
        [this, id = at.id, order](simulated_executor& it) -> std::function<void()> {
            const auto reply = it.stop(order);
            m_cell.note(id + " stop " + order.run.task.job + " task " +
                        std::to_string(order.run.task.index) + " run " +
                        std::to_string(order.run.number) + " status " +
                        std::to_string(static_cast<int>(reply.status)));
            return [this, id, order, reply] {
                m_executor_manager.on_stop_reply(id, order.run, reply);
            };
        },
        [this, id = at.id, order](work::order_status failure) {
            m_executor_manager.on_stop_reply(id, order.run, {failure, std::nullopt});
        });
}

void simulated_cell::holder::ask_report(const work::executor_info& at,
                                        const report_request& request) {
    const auto& network = m_cell.faults;
    const auto roll = static_cast<int>(m_cell.m_random() % 1000);
    const auto it = std::make_shared<report_call>();
    it->executor = executor_number(at);
    it->request = request;
    it->until = m_cell.m_now + request.wait;
    it->loses_answer =
        roll >= network.lost_requests && roll < network.lost_requests + network.lost_answers;
    if (roll >= network.lost_requests) {
        m_cell.after(one_way_delay, [this, it] { receive_request(it); });
    }
    m_cell.after(request.wait + limits().report_slack,
                 [this, it] { receive_answer(it, work::order_status::no_answer, {}); });
}

bool simulated_cell::holder::can_reach(int executor) const {
    return m_cell.executor(executor).is_reachable &&
           !m_cell.partitions.contains({m_number, executor});
}

void simulated_cell::holder::receive_request(const std::shared_ptr<report_call>& it) {
    if (!can_reach(it->executor)) {
        return;
    }
    auto& executor = m_cell.executor(it->executor);
    if (executor.is_down()) {
        m_cell.after(one_way_delay, [this, it] {
            receive_answer(it, work::order_status::connection_refused, {});
        });
        return;
    }
    it->start_time_ms = executor.current_report().start_time_ms;
    const auto [status, report] = executor.report(it->request);
    if (status != work::order_status::accepted) {
        m_cell.after(one_way_delay,
                     [this, it, status = status] { receive_answer(it, status, {}); });
        return;
    }
    poll_report(it);
}

void simulated_cell::holder::poll_report(const std::shared_ptr<report_call>& it) {
    constexpr milliseconds poll_interval{5};
    const auto report = m_cell.executor(it->executor).current_report();
    const bool is_cut_off = m_cell.executor(it->executor).is_cut_off;
    if (is_cut_off || report.start_time_ms != it->start_time_ms) { // its connection has ended
        if (can_reach(it->executor)) {
            m_cell.after(one_way_delay, [this, it] {
                receive_answer(it, work::order_status::connection_lost, {});
            });
        }
        return;
    }
    if (report.ended.empty() && m_cell.m_now < it->until) {
        m_cell.after(poll_interval, [this, it] { poll_report(it); });
        return;
    }
    if (can_reach(it->executor) && !it->loses_answer) {
        m_cell.after(one_way_delay, [this, it, report] {
            receive_answer(it, work::order_status::accepted, report);
        });
    }
}

void simulated_cell::holder::receive_answer(const std::shared_ptr<report_call>& it,
                                            work::order_status status,
                                            const work::run_report& report) {
    deliver([=, this] {
        if (!std::exchange(it->is_answered, true)) {
            m_executor_manager.on_report(m_cell.executor(it->executor).info().id,
                                         it->request.number, status, report);
        }
    });
}

} // namespace savorytrail::cell
