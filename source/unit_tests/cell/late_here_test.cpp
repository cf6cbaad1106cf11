// Load pattern: a burst in which a cell is full for a while. Tests that it returns the jobs that it
// would be late with, if other cells may take them.
#include <gtest/gtest.h>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using work::job_end;

struct returned_case {
    const char* name;
    int busy_ms = 0; // how long all executors are in use
    bool has_alternatives = true;
    bool is_returned = false;
};

class a_full_cell : public testing::TestWithParam<returned_case> {
protected:
    // Two executors of two tasks of 27 cores each.
    a_full_cell() : m_cell(1, 2, {64000, 131072, 0}, 1) {
        m_cell.at(0).assign(m_cell.executor_infos());
        m_cell.run_for(milliseconds(100));
    }

    void occupy(int ms) {
        m_cell.at(0).submit(make_job("long", 4, milliseconds(ms)), [](const auto&) {});
        m_cell.run_for(milliseconds(20));
    }

    simulated_cell m_cell;
};

TEST_P(a_full_cell, returns_a_job_that_it_would_be_late_with) {
    const auto& it = GetParam();
    occupy(it.busy_ms);
    auto job = make_job("short", 4, milliseconds(60)); // can wait for 96 ms
    job.has_alternatives = it.has_alternatives;
    std::optional<work::outcome> outcome;
    m_cell.at(0).submit(job, [&](const work::outcome& o) { outcome = o; });
    EXPECT_EQ(outcome.has_value(), it.is_returned);
    if (outcome) {
        EXPECT_EQ(outcome->end, job_end::not_run);
        EXPECT_TRUE(outcome->would_be_late);
        EXPECT_GE(outcome->retry_after, milliseconds(1000));
    }
    EXPECT_TRUE(m_cell.violations.empty());
}

INSTANTIATE_TEST_SUITE_P(burst, a_full_cell,
                         testing::Values(returned_case{"busy_for_long", 900, true, true},
                                         returned_case{"soon_free", 60, true, false},
                                         returned_case{"the_only_cell", 900, false, false}),
                         [](const auto& it) { return it.param.name; });

// A job waited for 370 ms for runs that took longer than expected, and was refused, while other
// cells had room for all its tasks.
TEST(a_waiting_job, is_returned_once_it_is_late) {
    simulated_cell cell(1, 2, {64000, 131072, 0}, 1);
    cell.actual_run = [](const work::job& job, const work::task_id&) {
        return simulated_executor::simulated_task{job.steps[0].task_resources,
                                                  milliseconds(job.id == "long" ? 900 : 60), false};
    };
    cell.at(0).assign(cell.executor_infos());
    cell.run_for(milliseconds(100));
    cell.at(0).submit(make_job("long", 4, milliseconds(60)), [](const auto&) {});
    cell.run_for(milliseconds(20));
    auto job = make_job("short", 4, milliseconds(60));
    job.has_alternatives = true;
    std::optional<work::outcome> outcome;
    cell.at(0).submit(job, [&](const work::outcome& o) { outcome = o; });
    ASSERT_FALSE(outcome);
    cell.run_for(milliseconds(200)); // its slack is 96 ms by the estimate
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->end, job_end::not_run);
    EXPECT_TRUE(outcome->would_be_late);
}

} // namespace
} // namespace savorytrail::cell
