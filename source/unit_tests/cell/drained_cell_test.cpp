// Tests of a cell whose executors are in drained failure domains, or cold after a start.
#include <gtest/gtest.h>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using work::job_end;

constexpr int executors = 4; // each takes two tasks of jobs.h at a time
constexpr int slots = 2 * executors;
constexpr work::resources small_vm{64000, 131072, 0};

class draining_cell : public testing::Test {
protected:
    draining_cell() {
        m_drains.note_known();
        m_cell.at(0).manager().set_drains(m_drains);
        assign(executors);
    }

    // The first executors in domain "d", the others adopted from domain "other".
    void assign(int in_own_domain) {
        auto list = m_cell.executor_infos();
        for (int i = in_own_domain; i < executors; i++) {
            list[i].failure_domain = "other";
        }
        m_cell.at(0).assign(list);
        m_cell.run_for(milliseconds(100));
    }

    // The first two executors, in domain "d", are large, the others, in domain "other", small.
    void label_by_domain() {
        auto list = m_cell.executor_infos();
        for (int i = 0; i < executors; i++) {
            list[i].failure_domain = i < 2 ? "d" : "other";
            list[i].labels = {i < 2 ? "large" : "small"};
        }
        m_cell.at(0).assign(list);
        m_cell.run_for(milliseconds(100));
    }

    void drain(milliseconds known_for = milliseconds(0), const std::string& domain = "d") {
        fleet::drain_state it{++m_version, {{domain, known_for}}};
        m_drains.merge(it, m_cell.at(0).now());
        m_cell.at(0).manager().on_drains_changed();
    }

    void end_drain() {
        m_drains.read(++m_version, {}, m_cell.at(0).now());
        m_cell.at(0).manager().on_drains_changed();
    }

    void submit(const work::job& job) {
        m_cell.at(0).submit(job,
                            [this, id = job.id](const work::outcome& it) { m_outcomes[id] = it; });
    }

    // Whether the job was answered so that another cell may take it.
    bool is_left_to_others(const std::string& id) {
        const auto it = m_outcomes.find(id);
        return it != m_outcomes.end() && it->second.end == job_end::not_run &&
               it->second.lacked_executors;
    }

    int running_on(int executor) {
        return static_cast<int>(m_cell.executor(executor).running().size());
    }

    simulated_cell m_cell{7, executors, small_vm, 1};
    fleet::drained_domains m_drains;
    std::uint64_t m_version = 0;
    std::map<std::string, work::outcome> m_outcomes;
};

TEST_F(draining_cell, leaves_a_job_that_has_not_begun_to_others_and_lets_runs_end) {
    submit(make_job("a", slots, milliseconds(800)));
    submit(make_job("b", 1, milliseconds(800)));
    m_cell.run_for(milliseconds(50));
    drain();
    m_cell.run_for(milliseconds(45));
    EXPECT_TRUE(is_left_to_others("b"));
    submit(make_job("c", 1, milliseconds(800)));
    EXPECT_TRUE(is_left_to_others("c"));
    EXPECT_EQ(m_cell.at(0).manager().drained_runs(), 8U);
    m_cell.run_for(milliseconds(900));
    EXPECT_EQ(m_outcomes.at("a").end, job_end::succeeded);
    EXPECT_EQ(m_cell.at(0).manager().drained_runs(), 0U);
    EXPECT_EQ(m_cell.starts, 8U);
}

TEST_F(draining_cell, publishes_no_load_until_the_drain_ends) {
    drain();
    EXPECT_EQ(m_cell.at(0).jobs().load().capacity_cpu_millis, 0);
    end_drain();
    EXPECT_EQ(m_cell.at(0).jobs().load().capacity_cpu_millis, executors * 64000);
}

// A drain that was withdrawn before it was carried out held a waiting job back.
TEST_F(draining_cell, starts_tasks_at_once_when_the_drain_ends) {
    submit(make_job("a", 1, milliseconds(200)));
    drain(milliseconds(0), "elsewhere");
    drain();
    end_drain();
    m_cell.run_for(milliseconds(250));
    EXPECT_EQ(m_outcomes.at("a").end, job_end::succeeded);
}

// A process that has restarted started tasks before it had learnt what was drained meanwhile.
TEST_F(draining_cell, starts_nothing_before_the_drains_are_known) {
    const fleet::drained_domains unknown;
    m_cell.at(0).manager().set_drains(unknown);
    m_cell.at(0).manager().on_drains_changed();
    submit(make_job("a", 1, milliseconds(200)));
    EXPECT_TRUE(is_left_to_others("a"));
    EXPECT_EQ(m_cell.at(0).jobs().load().capacity_cpu_millis, 0);
    m_cell.at(0).manager().set_drains(m_drains);
    m_cell.at(0).manager().on_drains_changed();
    submit(make_job("b", 1, milliseconds(200)));
    m_cell.run_for(milliseconds(250));
    EXPECT_EQ(m_outcomes.at("b").end, job_end::succeeded);
}

TEST_F(draining_cell, uses_only_executors_of_other_domains_that_it_holds) {
    assign(2);
    drain();
    submit(make_job("a", slots, milliseconds(100)));
    m_cell.run_for(milliseconds(50));
    EXPECT_EQ(running_on(0) + running_on(1), 0);
    EXPECT_EQ(running_on(2) + running_on(3), 4);
    m_cell.run_for(milliseconds(300));
    EXPECT_EQ(m_outcomes.at("a").end, job_end::succeeded);
}

// Adopted executors were used although their domain was drained.
TEST_F(draining_cell, uses_no_adopted_executors_of_a_drained_domain) {
    assign(2);
    drain(milliseconds(0), "other");
    submit(make_job("a", slots, milliseconds(100)));
    m_cell.run_for(milliseconds(50));
    EXPECT_EQ(running_on(0) + running_on(1), 4);
    EXPECT_EQ(running_on(2) + running_on(3), 0);
}

// A job that only executors of the drained domain could run waited until it was late, as the other
// executors kept the cell in service.
TEST_F(draining_cell, refuses_at_once_what_only_drained_executors_could_run) {
    label_by_domain();
    auto job = make_job("a", 4, milliseconds(800));
    job.steps[0].required_label = "large";
    submit(job);
    job.id = "b";
    submit(job);
    m_cell.run_for(milliseconds(50));
    drain();
    m_cell.run_for(milliseconds(45));
    ASSERT_TRUE(m_outcomes.contains("b"));
    EXPECT_EQ(m_outcomes.at("b").end, job_end::not_run);
    EXPECT_FALSE(m_outcomes.contains("a")); // its runs end by themselves
    job.id = "c";
    submit(job);
    ASSERT_TRUE(m_outcomes.contains("c"));
    EXPECT_EQ(m_outcomes.at("c").end, job_end::not_run);
}

// A begun job whose remaining tasks fit only drained executors waited for its caller's patience,
// and its wait passed for a lack of free capacity.
TEST_F(draining_cell, gives_up_at_once_what_only_drained_executors_could_end) {
    label_by_domain();
    auto job = make_job("a", 2, milliseconds(400));
    job.steps[0].required_label = "large";
    job.steps.push_back(job.steps[0]);
    job.steps[1].depends_on = {0};
    submit(job);
    m_cell.run_for(milliseconds(50));
    drain(milliseconds(1500));
    m_cell.run_for(milliseconds(300));
    EXPECT_FALSE(m_outcomes.contains("a"));
    m_cell.run_for(milliseconds(150));
    ASSERT_TRUE(m_outcomes.contains("a"));
    EXPECT_EQ(m_outcomes.at("a").end, job_end::given_up);
    // Executors that may not be used passed for ones that lacked free capacity only.
    EXPECT_TRUE(m_cell.contended_priorities.empty());
}

// The entries of two attempts of one job were both told that it had not run. Each of them offered
// it to another cell, so that it could run in both at once.
TEST_F(draining_cell, leaves_a_job_to_others_by_one_entry_only) {
    submit(make_job("a", slots, milliseconds(800)));
    const auto job = make_job("b", 1, milliseconds(800));
    std::vector<job_end> ends;
    const auto note_end = [&](const work::outcome& it) { ends.push_back(it.end); };
    m_cell.at(0).submit_leased(job, m_cell.now() + milliseconds(500), note_end);
    // Sent again by another entry, whose lease is not known yet.
    m_cell.at(0).submit_leased(job, m_cell.now(), note_end);
    m_cell.run_for(milliseconds(20));
    drain();
    m_cell.run_for(milliseconds(45));
    EXPECT_EQ(ends, (std::vector<job_end>{job_end::given_up, job_end::not_run}));
}

// An executor that is listed anew, as after a change of its row, was taken for one in service.
TEST_F(draining_cell, keeps_executors_drained_that_are_assigned_again) {
    drain();
    m_cell.at(0).assign({});
    m_cell.run_for(milliseconds(100));
    assign(executors);
    submit(make_job("a", 1, milliseconds(100)));
    EXPECT_TRUE(is_left_to_others("a"));
}

// A start order without an answer was sent again although the domain was drained meanwhile. It may
// have been carried out, so the job may not be reported as not run.
TEST_F(draining_cell, does_not_resend_an_unanswered_start) {
    m_cell.faults.lost_requests = 1000;
    submit(make_job("a", 1, milliseconds(400)));
    m_cell.run_for(milliseconds(50));
    m_cell.faults.lost_requests = 0;
    drain(milliseconds(1500));
    m_cell.run_for(milliseconds(1500));
    EXPECT_EQ(m_cell.starts, 0U);
    EXPECT_EQ(m_outcomes.at("a").end, job_end::given_up);
}

// Start orders that were carried out after 2 s and later: their runs end by the lease or a stop.
TEST_F(draining_cell, answers_a_job_whose_start_orders_are_late_without_a_second_run) {
    m_cell.faults.late_requests = 1000;
    submit(make_job("a", 2, milliseconds(400)));
    m_cell.run_for(milliseconds(50));
    m_cell.faults.late_requests = 0;
    drain(milliseconds(1500));
    m_cell.run_for(milliseconds(14000));
    EXPECT_EQ(m_outcomes.at("a").end, job_end::given_up);
    EXPECT_TRUE(m_cell.violations.empty());
}

// A process that was paused acted on what it knew before. Its jobs are closed, as after any pause,
// and it starts nothing until it has read what arrived.
TEST_F(draining_cell, starts_nothing_there_after_a_pause) {
    submit(make_job("a", slots + 2, milliseconds(400)));
    m_cell.run_for(milliseconds(50));
    m_cell.at(0).pause(milliseconds(3000));
    m_cell.run_for(milliseconds(3000));
    drain(milliseconds(2000));
    m_cell.run_for(milliseconds(1000));
    EXPECT_EQ(m_cell.starts, 8U);
    EXPECT_EQ(m_outcomes.at("a").end, job_end::given_up);
}

// A job with more tasks than there is room for when its domain is drained.
struct begun_job {
    milliseconds task;
    milliseconds known_for; // of the drain, when the cell learns of it
    job_end end;
    std::uint64_t starts;

    friend std::ostream& operator<<(std::ostream& out, const begun_job& it) {
        return out << "tasks of " << it.task.count() << " ms, drained " << it.known_for.count()
                   << " ms ago";
    }
};

class begun_jobs : public draining_cell, public testing::WithParamInterface<begun_job> {};

TEST_P(begun_jobs, may_start_their_remaining_tasks_for_a_while) {
    const auto& it = GetParam();
    submit(make_job("a", slots + 2, it.task));
    m_cell.run_for(milliseconds(50));
    drain(it.known_for);
    m_cell.run_for(milliseconds(1950));
    ASSERT_TRUE(m_outcomes.contains("a"));
    EXPECT_EQ(m_outcomes.at("a").end, it.end);
    EXPECT_EQ(m_cell.starts, it.starts);
}

INSTANTIATE_TEST_SUITE_P(
    grace, begun_jobs,
    testing::Values(begun_job{milliseconds(300), milliseconds(0), job_end::succeeded, 10},
                    begun_job{milliseconds(300), milliseconds(1000), job_end::succeeded, 10},
                    begun_job{milliseconds(300), milliseconds(1400), job_end::given_up, 8},
                    begun_job{milliseconds(300), milliseconds(60000), job_end::given_up, 8},
                    begun_job{milliseconds(800), milliseconds(900), job_end::given_up, 8}));

class cold_cell : public draining_cell {
protected:
    cold_cell() { assign_cold(2, milliseconds(3000)); }

    void assign_cold(int count, milliseconds left) {
        auto list = m_cell.executor_infos();
        for (int i = 0; i < count; i++) {
            list[i].cold_left = left;
        }
        m_cell.at(0).assign(list);
        m_cell.run_for(milliseconds(100));
    }
};

TEST_F(cold_cell, chooses_cold_executors_last_and_for_one_task_each) {
    submit(make_job("a", 4, milliseconds(500)));
    m_cell.run_for(milliseconds(50));
    EXPECT_EQ(running_on(2) + running_on(3), 4);
    submit(make_job("b", 4, milliseconds(500)));
    m_cell.run_for(milliseconds(50));
    EXPECT_EQ(running_on(0), 1);
    EXPECT_EQ(running_on(1), 1);
}

TEST_F(cold_cell, publishes_one_task_for_a_cold_executor) {
    submit(make_job("a", 1, milliseconds(10)));
    m_cell.run_for(milliseconds(100));
    EXPECT_EQ(m_cell.at(0).jobs().load().capacity_cpu_millis, 2 * 27000 + 2 * 64000);
    EXPECT_EQ(m_cell.at(0).jobs().load().usable_cpu_millis, 2 * 27000 + 4 * 27000);
}

// With the store down, no row tells that an executor is warm.
TEST_F(cold_cell, takes_an_executor_for_warm_when_its_time_is_over) {
    m_cell.run_for(milliseconds(2000));
    assign_cold(2, milliseconds(3000)); // the same row again
    m_cell.run_for(milliseconds(950));
    EXPECT_EQ(m_cell.at(0).jobs().load().capacity_cpu_millis, 4 * 64000);
    submit(make_job("a", slots, milliseconds(100)));
    m_cell.run_for(milliseconds(50));
    EXPECT_EQ(m_cell.starts, 8U);
}

} // namespace
} // namespace savorytrail::cell
