// Answers to callers when executors fail, refuse tasks, stop responding or respond too late.
#include <thread>

#include "integration_tests/fixture.h"

namespace savorytrail::integration {
namespace {

using stand_ins::executor_mode;
using stand_ins::proxy_mode;

stand_ins::cluster_plan one_domain() {
    stand_ins::cluster_plan plan;
    plan.domains = {{"kiruna-a", 2, 4}};
    plan.region = "norrbotten";
    plan.executors_behind_proxy = true;
    return plan;
}

stand_ins::manifest_options with_refusal_status_and_timeout() {
    stand_ins::manifest_options options;
    options.upstream_lines = "task_timeout_ms = 1500\nnot_accepted_status = 429\n";
    return options;
}

class executor_failures : public running_cluster {
protected:
    executor_failures() : running_cluster(one_domain(), with_refusal_status_and_timeout()) {}

    void set_executor_modes(executor_mode mode) {
        for (std::size_t i = 0; i < m_cluster.executors().size(); i++)
            ASSERT_FALSE(m_cluster.set_executor_behaviour(i, {.mode = mode}));
    }

    void set_executor_faults(const stand_ins::proxy_fault& fault) {
        for (std::size_t i = 0; i < m_cluster.executors().size(); i++)
            ASSERT_FALSE(m_cluster.set_fault_to_executor(i, fault));
    }
};

TEST_F(executor_failures, a_refusing_executor_s_tasks_run_once_elsewhere) {
    ASSERT_FALSE(m_cluster.set_executor_behaviour(0, {.mode = executor_mode::refuse}));
    for (int i = 0; i < 10; i++) {
        const auto job = make_job("refused " + std::to_string(i), 4, 20);
        const auto answer = submit(entry(i % 2), new_id(entry(i % 2)), job);
        EXPECT_TRUE(has_all_results(answer, job)) << answer.text;
    }
    EXPECT_EQ(starts(), 40U);
}

TEST_F(executor_failures, an_unreachable_executor_s_tasks_run_once_elsewhere) {
    ASSERT_FALSE(m_cluster.set_fault_to_executor(1, {.mode = proxy_mode::cut}));
    for (int i = 0; i < 10; i++) {
        const auto job = make_job("unreached " + std::to_string(i), 4, 20);
        const auto answer = submit(entry(i % 2), new_id(entry(i % 2)), job);
        // The proxy may accept the connection before it resets it. Bytes may then have been sent,
        // so the task's outcome is unknown.
        EXPECT_TRUE(has_all_results(answer, job) || answer.reason == "task_unknown") << answer.text;
    }
}

TEST_F(executor_failures, a_request_without_an_answer_ends_unknown_and_starts_nothing_twice) {
    set_executor_faults({.mode = proxy_mode::half_open}); // requests arrive, responses do not
    const auto job = make_job("silent", 2, 20);
    const auto id = new_id(entry(0));
    const auto answer = submit(entry(0), id, job);
    EXPECT_EQ(answer.state, "failed") << answer.text;
    EXPECT_EQ(answer.reason, "task_unknown");
    for (const auto& state : answer.task_states)
        EXPECT_EQ(state, "unknown");
    EXPECT_EQ(starts_of(id), 2U);

    ASSERT_FALSE(m_cluster.clear_route_faults());
    EXPECT_EQ(submit(entry(1), id, job).text, answer.text);
    EXPECT_EQ(starts_of(id), 2U);
}

TEST_F(executor_failures, connections_that_went_silent_are_not_used_again) {
    const auto first = make_job("first", 8, 20);
    EXPECT_TRUE(has_all_results(submit(entry(0), new_id(entry(0)), first), first));
    set_executor_faults({.mode = proxy_mode::drop_old}); // all pooled connections stay silent

    // The first jobs may lose tasks on the silent connections; later jobs must complete again.
    bool has_recovered = false;
    for (int i = 0; i < 12 && !has_recovered; i++) {
        const auto job = make_job("again " + std::to_string(i), 4, 20);
        const auto answer = submit(entry(0), new_id(entry(0)), job);
        EXPECT_TRUE(answer.is_final()) << answer.text;
        has_recovered = has_all_results(answer, job);
    }
    EXPECT_TRUE(has_recovered);
}

TEST_F(executor_failures, an_answer_after_the_bound_reaches_no_other_caller) {
    auto late = make_job("late", 1, 1500);
    late.tasks[0].path = "/work/late?ms=2500"; // exceeds task_timeout_ms
    const auto id = new_id(entry(0));
    EXPECT_EQ(submit(entry(0), id, late).reason, "task_unknown");
    std::vector<std::future<job_answer>> answers;
    std::vector<job_spec> jobs;
    for (int i = 0; i < 20; i++) {
        jobs.push_back(make_job("after " + std::to_string(i), 4, 50));
        answers.push_back(submit_later(entry(i % 2), new_id(entry(i % 2)), jobs.back()));
    }
    for (std::size_t i = 0; i < jobs.size(); i++) {
        const auto answer = answers[i].get();
        EXPECT_TRUE(has_all_results(answer, jobs[i])) << answer.text;
    }
    EXPECT_EQ(query(entry(1), id).reason, "task_unknown");
}

TEST_F(executor_failures, a_task_answered_with_a_server_error_fails_its_job_as_ran) {
    set_executor_modes(executor_mode::fail);
    const auto answer = submit(entry(0), new_id(entry(0)), make_job("error", 1, 20));
    EXPECT_EQ(answer.state, "failed");
    EXPECT_EQ(answer.reason, "task_failed");
    EXPECT_EQ(answer.task_states, std::vector<std::string>{"ran"});
}

} // namespace
} // namespace savorytrail::integration
