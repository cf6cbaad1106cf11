#include "unit_tests/cells/simulated_orders.h"

#include "unit_tests/cells/simulated_fleet.h"

namespace savorytrail::cells {
namespace {

using common::milliseconds;

constexpr milliseconds one_way_delay{1};
constexpr int max_stop_ms = 50; // the platform's bound of the time that a stop takes
constexpr int min_late_ms = 200;
constexpr int max_late_ms = 8000;

int executor_number(const work::executor_info& it) {
    return std::stoi(it.id.substr(1));
}

std::string run_text(const work::run_key& run) {
    return run.task.job + " task " + std::to_string(run.task.index) + " run " +
           std::to_string(run.number);
}

} // namespace

void simulated_orders::send(const work::executor_info& to, bool is_stop, milliseconds time,
                            const execution& execute, const failure_handler& on_failure) {
    const int number = executor_number(to);
    const auto& faults = m_fleet.orders_between(m_owner.slot(), number);
    auto roll = m_fleet.pick(1000);
    const auto happens = [&](int share) {
        const bool does = roll >= 0 && roll < share;
        roll -= share;
        return does;
    };
    const bool is_lost = faults.cuts_requests || happens(faults.lost_requests) ||
                         (is_stop && m_fleet.pick(1000) < faults.lost_stops);
    const bool loses_answer = happens(faults.lost_answers);
    const bool is_late = happens(faults.late_requests);
    const auto is_answered = std::make_shared<bool>(false);
    if (!is_lost) {
        const auto delay = is_late
                               ? milliseconds(min_late_ms + m_fleet.pick(max_late_ms - min_late_ms))
                               : one_way_delay + time;
        // A late order waits in the executor's process and is dropped when the process restarts.
        const auto start_time_ms = m_fleet.executor(number).current_report().start_time_ms;
        m_fleet.time().after(delay, [=, this] {
            auto& executor = m_fleet.executor(number);
            if (executor.current_report().start_time_ms != start_time_ms) {
                return;
            }
            const auto reply =
                executor.is_down()
                    ? answer([=] { on_failure(work::order_status::connection_refused); })
                    : execute(executor);
            const bool is_cut = m_fleet.orders_between(m_owner.slot(), number).cuts_answers;
            if (is_late || loses_answer || is_cut) {
                return;
            }
            m_fleet.time().after(one_way_delay, [=, this] {
                m_owner.deliver([=] {
                    if (!std::exchange(*is_answered, true)) {
                        reply();
                    }
                });
            });
        });
    }
    m_owner.after(cell::limits().order_timeout, [=] {
        if (!std::exchange(*is_answered, true)) {
            on_failure(work::order_status::no_answer);
        }
    });
}

void simulated_orders::start(const work::executor_info& at, const cell::start_order& order) {
    send(
        at, false, milliseconds(0),
        [this, id = at.id, order](cell::simulated_executor& it) -> answer {
            const auto& job = m_fleet.job(order.run.task.job);
            const auto reply = it.start(order, m_fleet.actual_run(job, order.run.task));
            if (reply.status == work::order_status::accepted) {
                m_fleet.starts++;
                m_fleet.note_started(order.run.task);
            }
            m_fleet.note(id + " start by " + m_owner.name() + " " + run_text(order.run) +
                         " status " + std::to_string(static_cast<int>(reply.status)));
            return [this, id, order, reply] { m_manager->on_start_reply(id, order.run, reply); };
        },
        [this, id = at.id, order](work::order_status failure) {
            m_manager->on_start_reply(id, order.run, {failure, std::nullopt});
        });
}

void simulated_orders::stop(const work::executor_info& at, const cell::stop_order& order) {
    send(
        at, true, milliseconds(m_fleet.pick(max_stop_ms)),
        [this, id = at.id, order](cell::simulated_executor& it) -> answer {
            const auto reply = it.stop(order);
            m_fleet.note(id + " stop by " + m_owner.name() + " " + run_text(order.run) +
                         " status " + std::to_string(static_cast<int>(reply.status)));
            return [this, id, order, reply] { m_manager->on_stop_reply(id, order.run, reply); };
        },
        [this, id = at.id, order](work::order_status failure) {
            m_manager->on_stop_reply(id, order.run, {failure, std::nullopt});
        });
}

void simulated_orders::ask_report(const work::executor_info& at,
                                  const cell::report_request& request) {
    const int number = executor_number(at);
    const auto is_answered = std::make_shared<bool>(false);
    const auto& faults = m_fleet.orders_between(m_owner.slot(), number);
    const auto roll = m_fleet.pick(1000);
    const bool is_lost = faults.cuts_requests || roll < faults.lost_requests;
    const bool loses_answer = !is_lost && roll < faults.lost_requests + faults.lost_answers;
    if (!is_lost) {
        m_fleet.time().after(one_way_delay, [=, this] {
            if (m_fleet.executor(number).is_down()) {
                fail_report(number, is_answered, request.number,
                            work::order_status::connection_refused);
                return;
            }
            const auto [status, report] = m_fleet.executor(number).report(request);
            if (status != work::order_status::accepted) {
                m_fleet.time().after(one_way_delay, [=, this, status = status] {
                    m_owner.deliver([=, this] {
                        if (!std::exchange(*is_answered, true)) {
                            m_manager->on_report(at.id, request.number, status, {});
                        }
                    });
                });
                return;
            }
            // A long poll: answered when a run has ended, or when its time is over.
            const auto reply = [=, this] {
                answer_report(number, is_answered, request.number, loses_answer);
            };
            if (!report.ended.empty() || request.wait == milliseconds(0)) {
                reply();
                return;
            }
            const auto is_awaited = std::make_shared<bool>(true);
            const auto reply_once = [=] {
                if (std::exchange(*is_awaited, false)) {
                    reply();
                }
            };
            m_fleet.await_end(number, reply_once, [=, this] {
                if (std::exchange(*is_awaited, false)) {
                    fail_report(number, is_answered, request.number,
                                work::order_status::connection_lost);
                }
            });
            m_fleet.time().after(request.wait, reply_once);
        });
    }
    m_owner.after(request.wait + cell::limits().report_slack, [=, this] {
        if (!std::exchange(*is_answered, true)) {
            m_manager->on_report(at.id, request.number, work::order_status::no_answer, {});
        }
    });
}

// The executor's machine resets the connection, or refuses it.
void simulated_orders::fail_report(int executor, const std::shared_ptr<bool>& is_answered,
                                   std::uint64_t number, work::order_status failure) {
    if (m_fleet.orders_between(m_owner.slot(), executor).cuts_answers) {
        return;
    }
    m_fleet.time().after(one_way_delay, [=, this] {
        m_owner.deliver([=, this] {
            if (!std::exchange(*is_answered, true)) {
                m_manager->on_report(m_fleet.executor(executor).info().id, number, failure, {});
            }
        });
    });
}

void simulated_orders::answer_report(int executor, const std::shared_ptr<bool>& is_answered,
                                     std::uint64_t number, bool is_lost) {
    if (is_lost || m_fleet.orders_between(m_owner.slot(), executor).cuts_answers) {
        return;
    }
    const auto report = m_fleet.executor(executor).current_report();
    m_fleet.time().after(one_way_delay, [=, this] {
        m_owner.deliver([=, this] {
            if (!std::exchange(*is_answered, true)) {
                m_manager->on_report(m_fleet.executor(executor).info().id, number,
                                     work::order_status::accepted, report);
            }
        });
    });
}

} // namespace savorytrail::cells
