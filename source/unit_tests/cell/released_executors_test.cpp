// Tests of a cell that releases its executors, as another entry of its failure domain dispatches
// from now on. Jobs that have begun are still this cell's: no other may start their tasks.
#include <gtest/gtest.h>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using work::job_end;

constexpr int executors = 4; // each takes two tasks of jobs.h at a time
constexpr work::resources small_vm{64000, 131072, 0};
constexpr milliseconds run_time{200};

// The first of two holders has all executors and is told to release them.
class releasing_cell : public testing::Test {
protected:
    releasing_cell() {
        m_cell.at(0).assign(m_cell.executor_infos());
        m_cell.run_for(milliseconds(100));
    }

    void submit(const work::job& job) {
        m_cell.at(0).submit(job,
                            [this, id = job.id](const work::outcome& it) { m_outcomes[id] = it; });
    }

    void release_all() { m_cell.at(0).assign({}); }

    // Of the first holder, released or not.
    std::size_t executors_left() { return m_cell.at(0).manager().executors().size(); }

    simulated_cell m_cell{7, executors, small_vm, 2};
    std::set<work::task_id> m_started;
    std::map<std::string, work::outcome> m_outcomes;
};

struct begun_job {
    const char* name;
    int tasks;
    int steps;
    bool fails_first; // the first run of each task
    std::uint64_t starts;
};

class a_job_that_has_begun : public releasing_cell,
                             public testing::WithParamInterface<begun_job> {};

// The executors were released as soon as their runs had ended. What was left of a job waited
// without any until its caller's patience ended, though executors were idle.
TEST_P(a_job_that_has_begun, ends_on_the_executors_that_are_released) {
    m_cell.actual_run = [this](const work::job& job, const work::task_id& task) {
        const bool is_first = m_started.insert(task).second;
        return simulated_executor::simulated_task{job.steps[0].task_resources, run_time,
                                                  GetParam().fails_first && is_first};
    };
    auto job = make_job("a", GetParam().tasks, run_time);
    for (int i = 1; i < GetParam().steps; i++) {
        job.steps.push_back(job.steps[0]);
        job.steps[i].depends_on = {i - 1};
    }
    submit(job);
    m_cell.run_for(milliseconds(50));
    release_all();
    m_cell.run_for(4 * run_time);
    ASSERT_TRUE(m_outcomes.contains("a"));
    EXPECT_EQ(m_outcomes.at("a").end, job_end::succeeded);
    EXPECT_EQ(m_cell.starts, GetParam().starts);
    EXPECT_EQ(executors_left(), 0U);
    EXPECT_TRUE(m_cell.violations.empty());
}

INSTANTIATE_TEST_SUITE_P(release, a_job_that_has_begun,
                         testing::Values(begun_job{"of_one_run", 1, 1, false, 1},
                                         begun_job{"of_two_steps", 2, 2, false, 4},
                                         begun_job{"of_three_steps", 1, 3, false, 3},
                                         begun_job{"with_a_failed_run", 1, 1, true, 2},
                                         begun_job{"larger_than_the_cell", 12, 1, false, 12}),
                         [](const auto& it) { return it.param.name; });

// Executors that no begun job needs were not to wait for those that one does: the entry that
// dispatches from now on has none until then.
TEST_F(releasing_cell, releases_at_once_what_begun_jobs_do_not_need) {
    auto job = make_job("a", 1, run_time);
    job.steps.push_back(job.steps[0]);
    job.steps[1].depends_on = {0};
    submit(job);
    m_cell.run_for(milliseconds(50));
    release_all();
    m_cell.run_for(milliseconds(60));
    EXPECT_EQ(executors_left(), 1U);
    m_cell.run_for(2 * run_time);
    EXPECT_EQ(m_outcomes.at("a").end, job_end::succeeded);
    EXPECT_EQ(executors_left(), 0U);
}

// A job that came during the release would keep the executors from their next holder.
TEST_F(releasing_cell, takes_no_new_job) {
    submit(make_job("a", 12, run_time));
    m_cell.run_for(milliseconds(50));
    release_all();
    m_cell.run_for(milliseconds(60));
    submit(make_job("b", 1, run_time));
    m_cell.run_for(2 * run_time + milliseconds(100));
    EXPECT_EQ(m_outcomes.at("a").end, job_end::succeeded);
    EXPECT_EQ(m_outcomes.at("b").end, job_end::not_run);
    EXPECT_EQ(m_cell.starts, 12U);
}

// A long chain of steps would keep an executor from its next holder without end.
TEST_F(releasing_cell, keeps_no_executor_for_longer_than_its_bound) {
    auto job = make_job("a", 1, run_time);
    job.patience = milliseconds(10000);
    for (int i = 1; i < 30; i++) {
        job.steps.push_back(job.steps[0]);
        job.steps[i].depends_on = {i - 1};
    }
    submit(job);
    m_cell.run_for(milliseconds(50));
    release_all();
    m_cell.run_for(limits().release_grace + run_time + milliseconds(100));
    EXPECT_EQ(executors_left(), 0U);
}

// An executor that the platform lists no more gets no further task, so that keeping it in place of
// another one would strand the job.
TEST_F(releasing_cell, keeps_another_executor_for_one_that_is_unlisted) {
    auto job = make_job("a", 2, run_time);
    job.steps.push_back(job.steps[0]);
    job.steps[1].depends_on = {0};
    submit(job);
    m_cell.run_for(milliseconds(50));
    ASSERT_EQ(m_cell.executor(0).running().size(), 2U);
    m_cell.at(0).manager().note_unlisted("e0");
    release_all();
    m_cell.run_for(run_time + milliseconds(100));
    EXPECT_TRUE(m_cell.executor(0).running().empty());
    m_cell.run_for(run_time);
    ASSERT_TRUE(m_outcomes.contains("a"));
    EXPECT_EQ(m_outcomes.at("a").end, job_end::succeeded);
    EXPECT_EQ(executors_left(), 0U);
}

// The other holder takes the executors as soon as they are free, and no task runs twice.
TEST_F(releasing_cell, hands_over_to_another_holder) {
    for (int i = 0; i < 3; i++) {
        auto job = make_job("a" + std::to_string(i), 3, run_time);
        job.steps.push_back(job.steps[0]);
        job.steps[1].depends_on = {0};
        submit(job);
    }
    m_cell.run_for(milliseconds(50));
    release_all();
    const std::function<void()> assign_free = [&] {
        std::vector<work::executor_info> free;
        for (const auto& it : m_cell.executor_infos()) {
            if (!m_cell.at(0).manager().executors().contains(it.id)) {
                free.push_back(it);
            }
        }
        m_cell.at(1).assign(free);
        m_cell.after(milliseconds(20), assign_free);
    };
    assign_free();
    m_cell.run_for(milliseconds(1000));
    for (const auto& [id, it] : m_outcomes) {
        EXPECT_EQ(it.end, job_end::succeeded) << id;
    }
    EXPECT_EQ(m_outcomes.size(), 3U);
    EXPECT_EQ(m_cell.at(1).manager().held().size(), 4U);
    EXPECT_TRUE(m_cell.violations.empty());
}

} // namespace
} // namespace savorytrail::cell
