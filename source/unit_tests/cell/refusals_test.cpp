// Tests of jobs that were refused, or waited in vain, although executors of this cell or of another
// had room for them.
#include <gtest/gtest.h>

#include <cmath>

#include "core/cell/capacity_meter.h"
#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using work::job_end;

class a_cell_of_four : public testing::Test {
protected:
    a_cell_of_four() {
        m_cell.is_tracing = true;
        m_cell.at(0).assign(m_cell.executor_infos());
        m_cell.run_for(milliseconds(100));
    }

    void submit(const work::job& job) {
        m_cell.at(0).submit(job,
                            [this, id = job.id](const work::outcome& it) { m_outcomes[id] = it; });
    }

    simulated_cell m_cell{7, 4, {64000, 131072, 0}, 1};
    std::map<std::string, work::outcome> m_outcomes;
};

// Tasks that wait for their limit by executor, not for free cores, made the cell believe that its
// executors could be used to a fiftieth only.
TEST_F(a_cell_of_four, admits_a_burst_after_tasks_have_waited_beside_idle_cores) {
    for (int i = 0; i < 10; i++) {
        auto job = make_job("limited-" + std::to_string(i), 12, milliseconds(300), 1000);
        job.steps[0].max_per_executor = 1;
        submit(job);
        m_cell.run_for(milliseconds(1000));
    }
    for (const char* id : {"a", "b", "c"}) {
        submit(make_job(id, 8, milliseconds(200)));
    }
    m_cell.run_for(milliseconds(1000));
    for (const char* id : {"a", "b", "c"}) {
        EXPECT_EQ(m_outcomes[id].end, job_end::succeeded) << id << ": " << m_outcomes[id].reason;
    }
}

// On each executor 24 cores are left, which the waiting tasks of 40 cannot use: smaller tasks of
// the same queue were refused for its share.
TEST_F(a_cell_of_four, admits_what_fits_beside_the_waiting_tasks_of_a_burst) {
    for (int i = 0; i < 60; i++) {
        submit(make_job("large-" + std::to_string(i), 4, milliseconds(200), 40000));
    }
    m_cell.run_for(milliseconds(20));
    ASSERT_GT(m_outcomes.size(), 0U); // some were refused
    submit(make_job("small", 4, milliseconds(200), 20000));
    submit(make_job("second", 4, milliseconds(200), 20000)); // its room is taken by then
    m_cell.run_for(milliseconds(300));
    EXPECT_EQ(m_outcomes["small"].end, job_end::succeeded) << m_outcomes["small"].reason;
    EXPECT_EQ(m_outcomes["second"].end, job_end::not_run);
}

TEST(capacity_meter, forgets_a_low_utilization_in_calm_time) {
    capacity_meter meter;
    const double initial = meter.effective(1000);
    for (int i = 0; i < 1000; i++) {
        meter.add_utilization(0.05);
    }
    EXPECT_LT(meter.effective(1000), initial / 4);
    for (int i = 0; i < 600; i++) { // 30 s
        meter.note_calm();
    }
    EXPECT_GT(meter.effective(1000), initial * 0.8);
}

struct absurd_case {
    double utilization;
    double ratio;
};

class an_absurd_measurement : public testing::TestWithParam<absurd_case> {};

TEST_P(an_absurd_measurement, leaves_a_positive_capacity) {
    capacity_meter meter;
    for (int i = 0; i < 5000; i++) {
        meter.add_utilization(GetParam().utilization);
        meter.add_run(GetParam().ratio);
    }
    EXPECT_GT(meter.effective(1000), 0);
    EXPECT_LT(meter.effective(1000), 100000);
}

INSTANTIATE_TEST_SUITE_P(capacity_meter, an_absurd_measurement,
                         testing::Values(absurd_case{0, 0}, absurd_case{-1e12, -1e12},
                                         absurd_case{1e12, 1e12},
                                         absurd_case{std::nan(""), std::nan("")}));

// All executors are cut off while a job waits there: it waited until it was too late for any cell.
TEST_F(a_cell_of_four, returns_a_waiting_job_when_no_executor_takes_work_any_more) {
    submit(make_job("running", 8, milliseconds(600)));
    submit(make_job("waiting", 2, milliseconds(600)));
    m_cell.run_for(milliseconds(50));
    for (int i = 0; i < 4; i++) {
        m_cell.partitions.insert({0, i});
    }
    m_cell.run_for(milliseconds(900));
    ASSERT_TRUE(m_outcomes.contains("waiting"));
    EXPECT_EQ(m_outcomes["waiting"].end, job_end::not_run);
    EXPECT_TRUE(m_outcomes["waiting"].lacked_executors) << m_outcomes["waiting"].reason;
    EXPECT_FALSE(m_outcomes.contains("running") && m_outcomes["running"].end == job_end::not_run);
}

// The only large executor is replaced by a small one: the job could run in another cell only.
TEST_F(a_cell_of_four, returns_a_waiting_job_when_no_executor_can_hold_it_any_more) {
    submit(make_job("running", 4, milliseconds(500), 60000));
    submit(make_job("waiting", 1, milliseconds(500), 60000));
    m_cell.run_for(milliseconds(50));
    auto smaller = m_cell.executor_infos();
    for (auto& it : smaller) {
        it.capacity.cpu_millis = 32000;
    }
    m_cell.at(0).assign(smaller);
    m_cell.run_for(milliseconds(300));
    ASSERT_TRUE(m_outcomes.contains("waiting"));
    EXPECT_EQ(m_outcomes["waiting"].end, job_end::not_run);
    m_cell.run_for(milliseconds(500));
    EXPECT_EQ(m_outcomes["running"].end, job_end::succeeded);
}

struct refused_line_case {
    const char* name;
    std::int64_t cpu_millis;
    int tasks;
    const char* expected;
};

class a_refused_job : public a_cell_of_four,
                      public testing::WithParamInterface<refused_line_case> {};

// Guards against a log line that doesn't tell a cell without room from a queue without a share.
TEST_P(a_refused_job, is_logged_with_the_state_behind_the_decision) {
    for (int i = 0; i < 60; i++) {
        submit(make_job("load-" + std::to_string(i), 8, milliseconds(200)));
    }
    m_cell.run_for(milliseconds(20));
    m_cell.trace.clear();
    submit(make_job("a", GetParam().tasks, milliseconds(200), GetParam().cpu_millis));
    ASSERT_TRUE(m_outcomes.contains("a"));
    EXPECT_EQ(m_outcomes["a"].end, job_end::not_run);
    ASSERT_EQ(m_cell.trace.size(), 1U);
    EXPECT_NE(m_cell.trace[0].find(GetParam().expected), std::string::npos) << m_cell.trace[0];
    EXPECT_NE(m_cell.trace[0].find(" ms old, work ahead "), std::string::npos) << m_cell.trace[0];
}

INSTANTIATE_TEST_SUITE_P(
    burst, a_refused_job,
    testing::Values(refused_line_case{"no_room", 27000, 2, "0 of 2 first tasks fit now"},
                    refused_line_case{"part_has_room", 10000, 8, "4 of 8 first tasks fit now"},
                    refused_line_case{"too_large", 1'000'000'000'000, 1,
                                      "no executor is large enough or has the label; capacity"}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail::cell
