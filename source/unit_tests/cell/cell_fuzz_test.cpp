// Stateful fuzzing of leased runs: random sequences of jobs, callers that disconnect and resend,
// holders that crash, freeze and lose executors, network partitions, lost, repeated and late
// orders, executors that crash and restart. Checks that no task ever has two runs at once, and that
// each caller that stays with a living holder gets an answer. Callers resend as the platform
// guarantees: 1.3 s after the end of their connection or an answer that a job was given up.
#include <gtest/gtest.h>

#include <cstdlib>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

constexpr int holders = 3;
constexpr int executors = 5;
constexpr milliseconds resend{1300};
// Time within which a holder detects the failure of the entry that passed it a job.
constexpr int max_detection_ms = 600;
constexpr milliseconds max_frozen{4200};
constexpr milliseconds answer_slack{500};

class sequence {
public:
    explicit sequence(std::uint64_t seed)
        : m_cell(seed, executors, {64000, 131072, 0}, holders), m_random(seed) {
        m_cell.actual_run = [this](const work::job& job, const work::task_id& task) {
            const auto& step = job.steps.at(task.step);
            const auto work = step.estimate * static_cast<int>(50 + m_random() % 150) / 100;
            return simulated_executor::simulated_task{step.task_resources, work,
                                                      m_random() % 50 == 0};
        };
        for (int i = 0; i < holders; i++) {
            m_is_alive.push_back(true);
        }
        assign_all_to(0);
        m_cell.run_for(milliseconds(150));
    }

    // The recorded events; empty unless keep_trace() was called.
    std::string trace_text() const { return m_cell.trace_text(); }
    void keep_trace() { m_cell.is_tracing = true; }

    std::vector<std::string> run(int commands) {
        for (int i = 0; i < commands && m_cell.violations.empty(); i++) {
            run_random_command();
            m_cell.run_for(milliseconds(static_cast<int>(m_random() % 120)));
        }
        if (m_cell.violations.empty()) {
            check_that_all_are_answered();
        }
        return m_cell.violations;
    }

private:
    struct call {
        int holder = 0;
        std::uint64_t ticket = 0;
        bool is_open = true;
    };

    // Nothing more is submitted. By then every holder runs again, and each caller's patience ends.
    void check_that_all_are_answered() {
        m_is_over = true;
        m_cell.run_for(max_frozen + cell::make_job("", 1, milliseconds(0)).patience + answer_slack);
        for (const auto& it : m_calls) {
            if (it->is_open && m_is_alive[it->holder]) {
                m_cell.violations.push_back("the caller of " + m_jobs[it].id + " at holder " +
                                            std::to_string(it->holder) + " has no answer");
            }
        }
    }

    int pick(int n) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(n)); }

    // Entries compute the assignment of executors by a common rule, each from its own view.
    void assign_all_to(int holder) {
        m_owner.assign(executors, holder);
        update_assignments();
    }

    void update_assignments() {
        for (int holder = 0; holder < holders; holder++) {
            std::vector<work::executor_info> list;
            for (int i = 0; i < executors; i++) {
                if (m_owner[i] == holder) {
                    list.push_back(m_cell.executor_infos()[i]);
                }
            }
            if (m_is_alive[holder] && m_cell.at(holder).is_running()) {
                m_cell.at(holder).assign(list);
            }
        }
    }

    void submit(const work::job& job) {
        const int holder = pick(holders);
        if (m_is_over || !m_is_alive[holder] || !m_cell.at(holder).is_running()) {
            return;
        }
        const auto it = std::make_shared<call>();
        it->holder = holder;
        m_calls.push_back(it);
        it->ticket = m_cell.at(holder).submit(job, [this, it, job](const work::outcome& end) {
            const bool was_open = std::exchange(it->is_open, false);
            if (was_open && end.end == work::job_end::given_up) {
                m_cell.after(resend, [this, job] { submit(job); });
            }
        });
        m_jobs[it] = job;
    }

    void disconnect(const std::shared_ptr<call>& it) {
        m_cell.note("caller leaves " + m_jobs[it].id + " at holder " + std::to_string(it->holder));
        it->is_open = false;
        m_cell.after(milliseconds(pick(max_detection_ms)), [this, it] { detect_disconnect(it); });
        m_cell.after(resend, [this, job = m_jobs[it]] { submit(job); });
    }

    // The holder detects the disconnect; a frozen holder does so when it wakes up.
    void detect_disconnect(const std::shared_ptr<call>& it) {
        auto& holder = m_cell.at(it->holder);
        if (!m_is_alive[it->holder]) {
            return;
        }
        if (!holder.is_running()) {
            m_cell.after(milliseconds(1), [this, it] { detect_disconnect(it); });
            return;
        }
        holder.abandon(it->ticket);
    }

    void fail_over(int holder) {
        for (const auto& it : m_calls) {
            if (it->is_open && it->holder == holder) {
                disconnect(it);
            }
        }
        m_cell.after(milliseconds(pick(max_detection_ms)), [this, holder] {
            const int next = (holder + 1) % holders;
            for (auto& owner : m_owner) {
                owner = owner == holder && m_is_alive[next] ? next : owner;
            }
            update_assignments();
        });
    }

    void run_random_command() {
        switch (pick(24)) {
        case 0:
            if (m_is_alive[0] + m_is_alive[1] + m_is_alive[2] > 1) {
                const int holder = pick(holders);
                m_cell.note("kill holder " + std::to_string(holder));
                m_cell.at(holder).kill();
                m_is_alive[holder] = false;
                fail_over(holder);
            }
            break;
        case 1: {
            const int holder = pick(holders);
            m_cell.note("freeze holder " + std::to_string(holder));
            const milliseconds time(200 + pick(static_cast<int>(max_frozen.count()) - 200));
            if (pick(2) == 0) {
                m_cell.at(holder).freeze(time);
            } else {
                m_cell.at(holder).pause(time);
            }
            fail_over(holder);
            break;
        }
        case 2:
            m_owner[pick(executors)] = pick(holders);
            update_assignments();
            break;
        case 3:
            m_cell.note("an executor crashes");
            m_cell.executor(pick(executors)).crash(m_cell.now());
            break;
        case 4:
            m_cell.partitions.insert({pick(holders), pick(executors)});
            m_cell.note("partition added; now " + std::to_string(m_cell.partitions.size()));
            break;
        case 5:
            m_cell.partitions.clear();
            break;
        case 6:
            m_cell.faults = {pick(60), pick(60), pick(60)};
            break;
        case 7:
            m_cell.faults = {};
            break;
        case 8:
            m_cell.executor(pick(executors)).slowdown = 1 + pick(5);
            break;
        case 9:
            m_cell.executor(pick(executors)).is_stalled = pick(2) == 0;
            break;
        case 10:
        case 11:
            if (!m_calls.empty()) {
                if (const auto it = m_calls[m_random() % m_calls.size()]; it->is_open) {
                    disconnect(it);
                }
            }
            break;
        default:
            submit(make_job("job-" + std::to_string(m_next++), 1 + pick(6),
                            milliseconds(20 + pick(700))));
        }
    }

    simulated_cell m_cell;
    std::mt19937_64 m_random;
    std::vector<int> m_owner;
    std::vector<char> m_is_alive;
    std::vector<std::shared_ptr<call>> m_calls;
    std::map<std::shared_ptr<call>, work::job> m_jobs;
    int m_next = 0;
    bool m_is_over = false;
};

// SAVORY_FUZZ_SEED and SAVORY_FUZZ_SEQUENCES replay a single sequence or run more of them.
std::uint64_t setting(const char* name, std::uint64_t default_value) {
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

TEST(cell_fuzz, no_task_runs_twice_at_once) {
    const auto first = setting("SAVORY_FUZZ_SEED", 20261204);
    const auto count = setting("SAVORY_FUZZ_SEQUENCES", 10000);
    for (std::uint64_t i = 0; i < count; i++) {
        sequence it(first + i);
        if (count == 1) {
            it.keep_trace();
        }
        const auto violations = it.run(60);
        ASSERT_TRUE(violations.empty())
            << "seed " << first + i << ": " << violations.front() << it.trace_text();
    }
}

} // namespace
} // namespace savorytrail::cell
