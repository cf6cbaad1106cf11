// Tests of the ledger: one start per task, one final answer per submission.
#include "core/submission/ledger.h"

#include <gtest/gtest.h>

namespace savorytrail::submission {
namespace {

using job::answer_state;
using job::task_state;

constexpr common::time_point start = common::time_point(std::chrono::hours(1));
constexpr common::time_point expiry = common::time_point(std::chrono::hours(2));

class ledger_rules : public testing::Test {
protected:
    open_result open(std::uint64_t sequence, const std::string& digest = "d",
                     common::time_point expires = expiry) {
        auto body = std::make_shared<job::job>();
        body->upstream = "u";
        body->tasks.resize(2);
        return m_ledger.open(id(sequence), digest, body, expires, start,
                             [this](const shared_answer& it) { m_answers.push_back(it); });
    }

    static submission_id id(std::uint64_t sequence) { return {{1, 2}, 3, 4, sequence, 5}; }

    ledger m_ledger{{3, 1 << 20}};
    std::vector<shared_answer> m_answers;
};

TEST_F(ledger_rules, a_task_begins_once) {
    open(1);
    EXPECT_TRUE(m_ledger.begin_task(id(1), 0));
    EXPECT_FALSE(m_ledger.begin_task(id(1), 0));
    EXPECT_FALSE(m_ledger.begin_task(id(1), 2));
    EXPECT_FALSE(m_ledger.begin_task(id(2), 0));
}

TEST_F(ledger_rules, a_task_that_never_reached_an_executor_may_begin_again) {
    open(1);
    m_ledger.begin_task(id(1), 0);
    m_ledger.end_task(id(1), 0, task_end::not_started, {});
    EXPECT_TRUE(m_ledger.begin_task(id(1), 0));
}

TEST_F(ledger_rules, all_answers_make_it_complete) {
    open(1);
    for (std::uint32_t i = 0; i < 2; i++) {
        m_ledger.begin_task(id(1), i);
        EXPECT_TRUE(m_answers.empty());
        m_ledger.end_task(id(1), i, task_end::answered, {200, std::to_string(i)});
    }
    ASSERT_EQ(m_answers.size(), 1U);
    EXPECT_EQ(m_answers[0]->state, answer_state::complete);
    EXPECT_EQ(m_answers[0]->results, (std::vector<job::task_result>{{200, "0"}, {200, "1"}}));
}

struct bad_end {
    task_end end;
    job::reason why;
    std::vector<task_state> tasks;
};

class unsuccessful_end : public ledger_rules, public testing::WithParamInterface<bad_end> {};

TEST_P(unsuccessful_end, is_answered_at_once_without_results) {
    open(1);
    m_ledger.begin_task(id(1), 0);
    m_ledger.end_task(id(1), 0, GetParam().end, {503, ""});
    ASSERT_EQ(m_answers.size(), 1U);
    EXPECT_EQ(m_answers[0]->state, answer_state::failed);
    EXPECT_EQ(m_answers[0]->why, GetParam().why);
    EXPECT_EQ(m_answers[0]->tasks, GetParam().tasks);
    EXPECT_TRUE(m_answers[0]->results.empty());
    EXPECT_FALSE(m_ledger.begin_task(id(1), 1));
}

INSTANTIATE_TEST_SUITE_P(table, unsuccessful_end,
                         testing::Values(bad_end{task_end::failed,
                                                 job::reason::task_failed,
                                                 {task_state::ran, task_state::not_run}},
                                         bad_end{task_end::unknown,
                                                 job::reason::task_unknown,
                                                 {task_state::unknown, task_state::not_run}}));

TEST_F(ledger_rules, a_refusal_stops_delayed_copies) {
    open(1);
    m_ledger.give_up(id(1), job::reason::queue_full, "", common::milliseconds(5));
    EXPECT_EQ(m_answers.at(0)->state, answer_state::refused);
    const auto copy = open(1);
    EXPECT_EQ(copy.outcome, open_outcome::already_known);
    EXPECT_EQ(copy.answer, m_answers.at(0));
    EXPECT_FALSE(m_ledger.begin_task(id(1), 0));
}

TEST_F(ledger_rules, a_cancel_before_the_submission_stops_it) {
    const auto cancelled = m_ledger.cancel(id(1), expiry, start).answer;
    EXPECT_EQ(cancelled->state, answer_state::refused);
    EXPECT_EQ(open(1).answer, cancelled);
    EXPECT_FALSE(m_ledger.begin_task(id(1), 0));
}

TEST_F(ledger_rules, a_cancel_does_not_change_a_final_answer) {
    open(1);
    const auto refused = m_ledger.give_up(id(1), job::reason::queue_full, "", std::nullopt);
    EXPECT_EQ(m_ledger.cancel(id(1), expiry, start).answer, refused);
}

TEST_F(ledger_rules, late_results_change_nothing) {
    open(1);
    m_ledger.begin_task(id(1), 0);
    const auto cancelled = m_ledger.cancel(id(1), expiry, start).answer;
    EXPECT_EQ(cancelled->state, answer_state::failed);
    EXPECT_EQ(cancelled->tasks,
              (std::vector<task_state>{task_state::unknown, task_state::not_run}));
    m_ledger.end_task(id(1), 0, task_end::answered, {200, "late"});
    EXPECT_EQ(open(1).answer, cancelled);
}

TEST_F(ledger_rules, another_body_under_the_same_id_is_detected) {
    open(1, "d");
    EXPECT_EQ(open(1, "e").outcome, open_outcome::different_body);
}

TEST_F(ledger_rules, memory_is_bounded_and_freed_at_expiry) {
    for (std::uint64_t i = 1; i <= 3; i++)
        EXPECT_EQ(open(i).outcome, open_outcome::opened);
    EXPECT_EQ(open(4).outcome, open_outcome::memory_full);
    m_ledger.give_up(id(1), job::reason::queue_full, "", std::nullopt);
    m_ledger.forget_expired(expiry - common::milliseconds(1));
    EXPECT_EQ(m_ledger.size().records, 3U);
    m_ledger.forget_expired(expiry);
    EXPECT_EQ(m_ledger.size().records, 2U);
    EXPECT_EQ(open(4, "d", expiry + common::milliseconds(1)).outcome, open_outcome::opened);
}

TEST_F(ledger_rules, a_forgotten_id_is_not_recorded_anew) {
    open(1);
    m_ledger.give_up(id(1), job::reason::queue_full, "", std::nullopt);
    m_ledger.forget_expired(expiry);
    // The caller's time is from before the expiry, as of a thread that was paused in between.
    EXPECT_EQ(open(1).outcome, open_outcome::expired);
    EXPECT_EQ(m_ledger.cancel(id(1), expiry, start).outcome, open_outcome::expired);
    EXPECT_FALSE(m_ledger.begin_task(id(1), 0));
}

TEST_F(ledger_rules, an_open_submission_outlives_its_id) {
    open(1);
    m_ledger.forget_expired(expiry);
    EXPECT_EQ(open(1).outcome, open_outcome::already_known);
    EXPECT_EQ(open(1, "e").outcome, open_outcome::different_body);
    m_ledger.give_up(id(1), job::reason::deadline_passed, "", std::nullopt);
    m_ledger.forget_expired(expiry);
    EXPECT_EQ(m_ledger.size().records, 0U);
    EXPECT_EQ(m_ledger.size().bytes, 0U);
}

TEST_F(ledger_rules, a_closed_ledger_starts_and_records_nothing) {
    open(1);
    open(2);
    m_ledger.begin_task(id(1), 0);
    m_ledger.close(job::reason::stopping, "");
    EXPECT_EQ(m_answers.size(), 2U);
    EXPECT_EQ(open(1).answer->tasks,
              (std::vector<task_state>{task_state::unknown, task_state::not_run}));
    EXPECT_EQ(open(2).answer->state, answer_state::refused);
    EXPECT_FALSE(m_ledger.begin_task(id(2), 0));
    EXPECT_EQ(open(3).outcome, open_outcome::closed);
    EXPECT_EQ(m_ledger.cancel(id(3), expiry, start).outcome, open_outcome::closed);
    EXPECT_EQ(m_ledger.final_submissions().size(), 2U);
}

TEST_F(ledger_rules, finds_the_open_submissions_with_waiting_tasks) {
    open(1);
    open(2);
    open(3);
    m_ledger.begin_task(id(1), 0);
    m_ledger.begin_task(id(1), 1);
    m_ledger.cancel(id(2), expiry, start);
    EXPECT_EQ(m_ledger.find_waiting([](const job::job&) { return true; }),
              (std::vector<submission_id>{id(3)}));
}

} // namespace
} // namespace savorytrail::submission
