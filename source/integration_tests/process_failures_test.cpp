// Answers to callers when entry processes are killed, frozen or stopped by signals.
#include <csignal>
#include <thread>

#include "integration_tests/fixture.h"

namespace savorytrail::integration {
namespace {

using common::milliseconds;

constexpr milliseconds process_bound{30000};

stand_ins::cluster_plan two_domains() {
    stand_ins::cluster_plan plan;
    plan.domains = {{"zilina", 2, 2}, {"banska", 2, 2}};
    return plan;
}

class process_failures : public running_cluster {
protected:
    explicit process_failures(stand_ins::manifest_options options = {})
        : running_cluster(two_domains(), std::move(options)) {}

    void wait_for_starts(const std::string& id, std::uint64_t count) {
        ASSERT_TRUE(stand_ins::wait_until([&] { return starts_of(id) >= count; }, process_bound));
    }
};

TEST_F(process_failures, a_killed_home_s_submission_ends_unknown_and_is_not_run_again) {
    const auto job = make_job("killed", 2, 2000);
    const auto id = new_id(entry(0));
    auto waiting = submit_later(entry(2), id, job);
    wait_for_starts(id, 2);
    m_cluster.entry_process(0).kill();

    // While the home may still be alive, the answer must not be final as refused or complete.
    const auto at_once = waiting.get();
    EXPECT_NE(at_once.state, "refused") << at_once.text;
    EXPECT_NE(at_once.state, "complete") << at_once.text;

    ASSERT_FALSE(m_cluster.start_entry(0));
    ASSERT_TRUE(m_cluster.wait_until_ready(0, process_bound));
    for (std::size_t i = 0; i < m_cluster.entries().size(); i++) {
        const auto answer = submit_until_final(entry(i), id, job, process_bound);
        EXPECT_EQ(answer.state, "failed") << answer.text;
        EXPECT_EQ(answer.reason, "home_dead");
        EXPECT_EQ(answer.task_states, (std::vector<std::string>{"unknown", "unknown"}));
    }
    EXPECT_EQ(starts_of(id), 2U);
}

TEST_F(process_failures, a_frozen_home_is_unavailable_and_finishes_its_work_once_when_resumed) {
    const auto job = make_job("frozen", 40, 100); // more tasks than slots: starts are pending
    const auto id = new_id(entry(0));
    auto waiting = submit_later(entry(0), id, job, 30000);
    wait_for_starts(id, 1);
    m_cluster.entry_process(0).send_signal(SIGSTOP);

    const auto meanwhile = submit(entry(2), id, job, 1000);
    EXPECT_EQ(meanwhile.state, "unavailable") << meanwhile.text;
    EXPECT_GT(meanwhile.retry_after_ms, 0);
    std::this_thread::sleep_for(milliseconds(6000)); // longer than any timeout between entries

    m_cluster.entry_process(0).send_signal(SIGCONT);
    const auto waited_for = waiting.get();
    EXPECT_TRUE(has_all_results(waited_for, job)) << waited_for.status << waited_for.text;
    const auto later = submit_until_final(entry(2), id, job, process_bound);
    EXPECT_TRUE(has_all_results(later, job)) << later.text;
    EXPECT_EQ(starts_of(id), 40U);
}

stand_ins::manifest_options with_short_task_timeout() {
    stand_ins::manifest_options options;
    options.upstream_lines = "task_timeout_ms = 2000";
    return options;
}

class short_task_timeout : public process_failures {
protected:
    short_task_timeout() : process_failures(with_short_task_timeout()) {}
};

// The executors answer in time, but the frozen home reads these answers only when it resumes, after
// the task timeout.
TEST_F(short_task_timeout, answers_that_came_while_the_home_was_frozen_count) {
    const auto job = make_job("frozen", 40, 100);
    const auto id = new_id(entry(0));
    auto waiting = submit_later(entry(0), id, job, 30000);
    wait_for_starts(id, 1);
    m_cluster.entry_process(0).send_signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(3000));
    m_cluster.entry_process(0).send_signal(SIGCONT);
    const auto answer = waiting.get();
    EXPECT_TRUE(has_all_results(answer, job)) << answer.text;
    EXPECT_EQ(starts_of(id), 40U);
}

TEST_F(process_failures, a_planned_stop_cuts_no_request_and_a_successor_answers_afterwards) {
    std::vector<job_spec> jobs;
    std::vector<std::string> ids;
    std::vector<std::future<job_answer>> answers;
    for (std::size_t i = 0; i < 8; i++) {
        jobs.push_back(make_job("stop " + std::to_string(i), 3, 800));
        ids.push_back(new_id(entry(0)));
        answers.push_back(submit_later(entry(i % 2 == 0 ? 0 : 2), ids[i], jobs[i]));
    }
    for (const auto& id : ids)
        wait_for_starts(id, 1);

    EXPECT_EQ(m_cluster.entry_process(0).stop(process_bound), 0)
        << m_cluster.entry_process(0).read_error_output();
    for (std::size_t i = 0; i < jobs.size(); i++) {
        const auto answer = answers[i].get();
        EXPECT_TRUE(has_all_results(answer, jobs[i])) << answer.text;
    }
    // The answers outlive the process of their home.
    for (std::size_t i = 0; i < jobs.size(); i++) {
        const auto later = submit_until_final(entry(3), ids[i], jobs[i], process_bound);
        EXPECT_TRUE(has_all_results(later, jobs[i])) << later.text;
    }
    EXPECT_EQ(starts(), 8U * 3U);
}

TEST_F(process_failures, a_planned_stop_waits_for_requests_whose_home_is_elsewhere) {
    const auto job = make_job("passed on", 2, 2500);
    const auto id = new_id(entry(2));
    auto waiting = submit_later(entry(0), id, job);
    wait_for_starts(id, 2);
    EXPECT_EQ(m_cluster.entry_process(0).stop(process_bound), 0);
    const auto answer = waiting.get();
    EXPECT_TRUE(has_all_results(answer, job)) << answer.status << answer.text;
}

TEST_F(process_failures, service_goes_on_while_the_platform_is_down_and_entries_are_replaced) {
    ASSERT_FALSE(m_cluster.set_platform_fault({.mode = stand_ins::platform_mode::down}));
    const auto before = make_job("before", 3, 50);
    EXPECT_TRUE(has_all_results(submit(entry(1), new_id(entry(0)), before), before));

    m_cluster.entry_process(1).kill();
    const auto after = make_job("after", 3, 50);
    for (const auto& [to, from] : {std::pair{0, 0}, std::pair{3, 2}}) {
        const auto answer = submit(entry(to), new_id(entry(from)), after);
        EXPECT_TRUE(has_all_results(answer, after)) << answer.text;
    }
}

} // namespace
} // namespace savorytrail::integration
