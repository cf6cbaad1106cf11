// dispatcher::explain() tells operators where a job would go. Guards against answers that differ
// from the decision, and against questions that change later decisions.
#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <set>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

struct load_case {
    const char* name;
    double load; // offered work / cores
    std::vector<double> speeds;
    bool has_drained_domain;
    bool has_failing_tasks;
    bool interferes = false; // peers tell that tasks of two queues slow each other down
};

std::ostream& operator<<(std::ostream& out, const load_case& it) {
    return out << it.name;
}

struct agreement {
    int refused = 0;
    int held_back = 0;
    int started = 0;
    int partly_started = 0;
};

class loaded_cell {
public:
    static constexpr int executors = 12;
    static constexpr std::int64_t cores = 64;

    explicit loaded_cell(const load_case& by)
        : m_case(by), m_cell(11, executors, {cores * 1000, 131072, 0}, 1, reserving_limits()),
          m_random(23) {
        m_cell.is_tracing = true;
        for (int i = 0; i < executors; i++) {
            m_cell.executor(i).slowdown = 1 / by.speeds[i % by.speeds.size()];
        }
        m_cell.actual_run = [&by](const work::job& job, const work::task_id& task) {
            const auto& step = job.steps[task.step];
            return simulated_executor::simulated_task{step.task_resources, step.estimate,
                                                      by.has_failing_tasks && task.index == 1};
        };
        m_drains.note_known();
        auto& manager = m_cell.at(0).manager();
        manager.set_drains(m_drains);
        auto infos = m_cell.executor_infos();
        for (int i = 0; i < executors; i++) {
            infos[i].failure_domain = i % 3 == 0 ? "z" : "d";
        }
        m_cell.at(0).assign(infos);
        m_cell.run_for(milliseconds(200));
        if (by.interferes) {
            m_cell.at(0).jobs().task_interference().receive(
                {{task_kind{"middle", ""}.key(), task_kind{"middle", ""}.key(), 0.7, 100},
                 {task_kind{"short", ""}.key(), task_kind{"long", ""}.key(), 0.4, 100}},
                m_cell.at(0).now());
            EXPECT_TRUE(m_cell.at(0).jobs().task_interference().knows_pairs());
        }
        if (by.has_drained_domain) {
            m_drains.merge({1, {{"z", milliseconds(0)}}}, m_cell.at(0).now());
            manager.on_drains_changed();
        }
    }

    // Asks about each job `questions` times before it arrives, and compares the last answer with
    // the decision if there is one.
    agreement run(int jobs, int questions) {
        agreement counts;
        double at_ms = 0;
        for (int i = 0; i < jobs; i++) {
            const auto job = next_job(i);
            at_ms += -std::log(1 - uniform()) * job.cpu_demand() /
                     (m_case.load * cores * 1000 * executors);
            const auto delay = milliseconds(static_cast<std::int64_t>(at_ms));
            at_ms -= static_cast<double>(delay.count());
            m_cell.run_for(delay);
            placement_explanation told;
            for (int k = 0; k < questions; k++) {
                told = m_cell.at(0).jobs().explain(job);
            }
            const auto before = m_cell.trace.size();
            m_cell.at(0).submit(job, [](const work::outcome&) {});
            if (questions > 0) {
                compare(job.id, told, before, counts);
            }
        }
        m_cell.run_for(milliseconds(2000));
        return counts;
    }

    const std::vector<std::string>& trace() const { return m_cell.trace; }
    const std::vector<std::string>& violations() const { return m_cell.violations; }

private:
    // The detail of the job's event since the given line of the trace.
    std::optional<std::string> detail_of(const std::string& job, const std::string& event,
                                         std::size_t from) const {
        const auto text = " " + job + " " + event + ": ";
        for (std::size_t i = from; i < m_cell.trace.size(); i++) {
            if (const auto at = m_cell.trace[i].find(text); at != std::string::npos) {
                return m_cell.trace[i].substr(at + text.size());
            }
        }
        return std::nullopt;
    }

    void compare(const std::string& job, const placement_explanation& told, std::size_t from,
                 agreement& counts) const {
        const auto refused = detail_of(job, "job_refused", from);
        ASSERT_EQ(told.refused.has_value(), refused.has_value()) << job;
        if (refused) {
            counts.refused++;
            EXPECT_EQ(told.refused->outcome.reason + "; " + describe(told.view, told.refused->room),
                      *refused);
            return;
        }
        const auto held = detail_of(job, "job_held_back", from);
        ASSERT_EQ(told.held_back_for.has_value(), held.has_value()) << job;
        if (held) {
            counts.held_back++;
            EXPECT_EQ("for jobs of priority " + std::to_string(*told.held_back_for), *held);
        }
        std::string planned;
        std::size_t starts = 0;
        for (const auto& it : told.tasks) {
            if (!it.executor.empty()) {
                planned += (planned.empty() ? "" : " ") + it.executor;
                starts++;
                ASSERT_FALSE(it.options.empty());
                EXPECT_EQ(it.options.front().executor, it.executor);
            }
        }
        EXPECT_EQ(planned, detail_of(job, "tasks_started", from).value_or("")) << job;
        counts.started += starts > 0 ? 1 : 0;
        counts.partly_started += starts > 0 && starts < told.tasks.size() ? 1 : 0;
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    work::job next_job(int number) {
        struct kind {
            const char* queue;
            int priority;
            int tasks;
            int task_ms;
        };
        constexpr std::array<kind, 3> kinds = {
            {{"short", 0, 8, 60}, {"middle", 1, 2, 200}, {"long", 2, 4, 900}}};
        const auto& it = kinds.at(m_random() % kinds.size());
        auto job = make_job("j" + std::to_string(number), it.tasks, milliseconds(it.task_ms),
                            24000 + static_cast<std::int64_t>(m_random() % 16000), it.queue);
        job.queue.priority = it.priority;
        job.steps[0].max_per_executor = m_random() % 4 == 0 ? 1 : 0;
        job.steps.push_back(job.steps[0]);
        job.steps[1].tasks = 1;
        job.steps[1].depends_on = m_random() % 2 == 0 ? std::vector{0} : std::vector<int>{};
        return job;
    }

    const load_case m_case;
    fleet::drained_domains m_drains;
    simulated_cell m_cell;
    std::mt19937_64 m_random;
};

class explanation_test : public testing::TestWithParam<load_case> {};

TEST_P(explanation_test, agrees_with_the_decision_that_follows) {
    loaded_cell cell(GetParam());
    const auto counts = cell.run(1500, 1);
    EXPECT_GT(counts.started, 100);
    if (GetParam().load > 1) {
        EXPECT_GT(counts.refused, 50);
        EXPECT_GT(counts.held_back, 5);
        EXPECT_GT(counts.partly_started, 5);
    }
    EXPECT_TRUE(cell.violations().empty());
}

TEST_P(explanation_test, changes_no_later_decision) {
    loaded_cell asked(GetParam());
    loaded_cell left_alone(GetParam());
    asked.run(200, 50); // 10,000 questions
    left_alone.run(200, 0);
    EXPECT_EQ(asked.trace(), left_alone.trace());
}

const load_case load_cases[] = {
    {"calm", 0.4, {1}, false, false},
    {"overload", 1.5, {1}, false, false},
    {"uneven_speeds", 0.8, {0.7, 0.7, 1.7}, false, false},
    {"uneven_overload", 1.5, {0.7, 0.7, 1.7}, false, false},
    {"drained_domain", 0.6, {1}, true, false},
    {"failing_tasks", 0.6, {1}, false, true},
    {"interference", 0.6, {1}, false, false, true},
};

INSTANTIATE_TEST_SUITE_P(loads, explanation_test, testing::ValuesIn(load_cases),
                         [](const auto& it) { return std::string(it.param.name); });

// Operators look up why an executor gets no task.
TEST(explanation, names_what_speaks_against_executors) {
    simulated_cell cell(3, {{64000, 131072, 0}, {8000, 131072, 0}, {64000, 131072, 0}}, 1);
    cell.at(0).assign(cell.executor_infos());
    cell.run_for(milliseconds(200));
    cell.at(0).submit(make_job("a", 1, milliseconds(500), 60000), [](const work::outcome&) {});
    auto job = make_job("b", 1, milliseconds(100), 20000);
    const auto told = cell.at(0).jobs().explain(job);
    ASSERT_EQ(told.tasks.size(), 1U);
    EXPECT_FALSE(told.refused);
    EXPECT_EQ(told.tasks[0].executors_that_can, 1U);
    std::multiset<std::string> reasons;
    for (const auto& [executor, list] : told.tasks[0].left_out) {
        reasons.insert(list.begin(), list.end());
    }
    EXPECT_EQ(reasons, (std::multiset<std::string>{"no_room", "too_small"}));
    job.steps[0].required_label = "none-has-it";
    const auto refused = cell.at(0).jobs().explain(job);
    ASSERT_TRUE(refused.refused);
    EXPECT_EQ(refused.refused->cause, refusal_cause::none_fits);
}

} // namespace
} // namespace savorytrail::cell
