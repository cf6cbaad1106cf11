// The cause of a job's end as the logs of all entries tell it: a table of courses of events.
#include "core/log_story/job_story.h"

#include <gtest/gtest.h>

namespace savorytrail::log_story {
namespace {

constexpr const char* job = "j1";

// An event of the job, or with another key of something else.
log_event at(int ms, const std::string& node, const std::string& name,
             const std::string& detail = "") {
    return {ms * 1000LL, node, name, {{"job", job}, {"detail", detail}}};
}

log_event other(int ms, const std::string& node, const std::string& name, const std::string& key,
                const std::string& value) {
    return {ms * 1000LL, node, name, {{key, value}}};
}

struct story_case {
    const char* name;
    std::vector<log_event> log;
    std::string outcome;
    std::string cause;                // of the first attempt
    std::vector<std::string> missing; // of the same
};

std::ostream& operator<<(std::ostream& out, const story_case& it) {
    return out << it.name;
}

const std::vector<story_case> stories = {
    {"refused_under_overload",
     {at(0, "f1", "job_taken", "q"), at(1, "f1", "job_passed", "f2"),
      at(2, "f2", "job_refused", "the wait would be too long"), at(3, "f1", "job_passed", "f3"),
      at(4, "f3", "job_refused", "overload"), at(5, "f1", "job_answered", "not_run")},
     "not_run",
     "refused: the wait would be too long (f2); overload (f3)",
     {}},
    {"given_up_through_the_death_of_its_dispatcher",
     {at(0, "f1", "job_taken", "q"), at(1, "f1", "job_passed", "f2"),
      at(2, "f2", "task_started", "x1"), at(300, "f1", "pass_lost", "f2: connection lost"),
      at(300, "f1", "job_answered", "given_up"), other(310, "f1", "entry_lost", "entry", "f2"),
      other(800, "f3", "entry_lost", "entry", "f2")},
     "given_up",
     "the way to its dispatcher broke; f2 was missed by 2 entries: it ended, stood still or was "
     "cut off",
     {}},
    {"given_up_through_the_restart_of_its_dispatcher",
     {at(0, "f1", "job_taken", "q"), at(1, "f1", "job_passed", "f2"),
      at(300, "f1", "pass_lost", "f2: connection lost"), at(300, "f1", "job_answered", "given_up"),
      other(900, "f2", "started", "address", "a")},
     "given_up",
     "the way to its dispatcher broke; f2 started anew: its process had ended",
     {"it was passed to f2, of which no line tells of it"}},
    {"given_up_soon_after_a_start",
     {other(-500, "f2", "started", "address", "a"), at(0, "f1", "job_taken", "q"),
      at(1, "f1", "job_passed", "f2"), at(2, "f2", "task_started", "x1"),
      at(300, "f1", "pass_lost", "f2: connection lost"), at(300, "f1", "job_answered", "given_up")},
     "given_up",
     "the way to its dispatcher broke; no entry missed f2: only the connection broke",
     {}},
    {"given_up_for_lateness",
     {at(0, "f1", "job_taken", "q"), at(1, "f1", "task_started", "x1"),
      at(300, "f1", "job_given_up", "its caller's patience ends"),
      at(300, "f1", "job_answered", "given_up")},
     "given_up",
     "given up: its caller's patience ends (f1)",
     {}},
    {"failed_at_bad_executors",
     {at(0, "f1", "job_taken", "q"), at(1, "f1", "task_started", "x1"),
      at(50, "f1", "task_failed", "x1"), at(51, "f1", "task_started", "x2"),
      at(90, "f1", "task_failed", "x2"), at(90, "f1", "job_answered", "failed"),
      other(70, "f1", "executor_rested", "executor", "x1"),
      other(70, "f1", "executor_rested", "executor", "x9")},
     "failed",
     "tasks failed on x1, x2; others' runs failed on x1 too",
     {}},
    {"failed_by_itself",
     {at(0, "f1", "job_taken", "q"), at(1, "f1", "task_started", "x1"),
      at(50, "f1", "task_failed", "x1"), at(90, "f1", "job_answered", "failed")},
     "failed",
     "tasks failed on x1; none of them failed others: the job itself can't be done",
     {}},
    {"unanswered_by_an_entry_that_ended",
     {at(0, "f1", "job_taken", "q"), other(1500, "f1", "started", "address", "a")},
     "",
     "f1 ended while it had the job: it started anew 1500 ms later",
     {}},
    {"unanswered_by_an_entry_that_was_missed",
     {at(0, "f1", "job_taken", "q"), other(900, "f2", "entry_lost", "entry", "f1")},
     "",
     "no answer is told: f1 was missed by 1 entry: it ended, stood still or was cut off",
     {}},
    {"left_by_its_caller",
     {at(0, "f1", "job_taken", "q"), at(200, "f1", "job_abandoned", "its caller has left")},
     "abandoned",
     "its caller left before the answer",
     {}},
    {"served_after_a_failure",
     {at(0, "f1", "job_taken", "q"), at(50, "f1", "task_failed", "x1"),
      at(120, "f1", "job_answered", "succeeded")},
     "succeeded",
     "served within 120 ms; runs failed on x1 and were repeated",
     {}},
    {"with_lines_left_out",
     {at(0, "f1", "job_taken", "q"),
      at(120, "f1", "job_answered", "not_run"),
      {500'000, "f1", "lines_suppressed", {{"of", "job_refused"}, {"lines", "31"}}}},
     "not_run",
     "refused; the entry that did is not in these logs",
     {"31 lines of job_refused were left out at f1"}},
};

class told : public testing::TestWithParam<story_case> {};

TEST_P(told, from_the_logs_in_any_order) {
    auto log = GetParam().log;
    std::reverse(log.begin(), log.end());
    log.push_back({1, "f9", "job_taken", {{"job", "another"}}});
    const auto story = reconstruct_story(job, log);
    ASSERT_EQ(story.attempts.size(), 1U);
    EXPECT_EQ(story.attempts[0].outcome, GetParam().outcome);
    EXPECT_EQ(story.attempts[0].cause, GetParam().cause);
    EXPECT_EQ(story.attempts[0].missing, GetParam().missing);
}

INSTANTIATE_TEST_SUITE_P(all, told, testing::ValuesIn(stories),
                         [](const auto& it) { return it.param.name; });

TEST(a_job_sent_twice, has_a_cause_for_each_time) {
    const auto story = reconstruct_story(
        job, {at(0, "f1", "job_taken", "q"), at(3, "f1", "job_answered", "not_run"),
              at(1300, "f2", "job_taken", "q"), at(1400, "f2", "job_answered", "succeeded")});
    ASSERT_EQ(story.attempts.size(), 2U);
    EXPECT_EQ(story.attempts[0].outcome, "not_run");
    EXPECT_EQ(story.attempts[1].cause, "served within 100 ms");
}

TEST(a_job_that_no_line_names, has_no_story) {
    EXPECT_TRUE(
        reconstruct_story(job, {other(1, "f1", "entry_lost", "entry", "f2")}).events.empty());
}

} // namespace
} // namespace savorytrail::log_story
