// Tests of the cause of a job's outcome, found from the logs of all entries: a table of event
// sequences.
#include "core/log_story/job_story.h"

#include <gtest/gtest.h>

namespace savorytrail::log_story {
namespace {

constexpr const char* job = "j1";

// An event of the job; other_event() makes one that has another key instead.
log_event job_event(int ms, const std::string& node, const std::string& name,
                    const std::string& detail = "") {
    return {ms * 1000LL, node, name, {{"job", job}, {"detail", detail}}};
}

log_event other_event(int ms, const std::string& node, const std::string& name,
                      const std::string& key, const std::string& value) {
    return {ms * 1000LL, node, name, {{key, value}}};
}

struct story_case {
    const char* name;
    std::vector<log_event> log;
    std::string outcome;
    std::string cause;                // of the only attempt
    std::vector<std::string> missing; // of the only attempt
};

std::ostream& operator<<(std::ostream& out, const story_case& it) {
    return out << it.name;
}

const std::vector<story_case> stories = {
    {"refused_under_overload",
     {job_event(0, "f1", "job_taken", "q"), job_event(1, "f1", "job_passed", "f2"),
      job_event(2, "f2", "job_refused", "the wait would be too long"),
      job_event(3, "f1", "job_passed", "f3"), job_event(4, "f3", "job_refused", "overload"),
      job_event(5, "f1", "job_answered", "not_run")},
     "not_run",
     "refused: the wait would be too long (f2); overload (f3)",
     {}},
    {"given_up_after_its_dispatcher_was_lost",
     {job_event(0, "f1", "job_taken", "q"), job_event(1, "f1", "job_passed", "f2"),
      job_event(2, "f2", "task_started", "x1"),
      job_event(300, "f1", "pass_lost", "f2: connection lost"),
      job_event(300, "f1", "job_answered", "given_up"),
      other_event(310, "f1", "entry_lost", "entry", "f2"),
      other_event(800, "f3", "entry_lost", "entry", "f2")},
     "given_up",
     "the connection to its dispatcher failed; f2 was reported lost by 2 entries: it ended, "
     "stalled or was disconnected",
     {}},
    {"given_up_after_its_dispatcher_restarted",
     {job_event(0, "f1", "job_taken", "q"), job_event(1, "f1", "job_passed", "f2"),
      job_event(300, "f1", "pass_lost", "f2: connection lost"),
      job_event(300, "f1", "job_answered", "given_up"),
      other_event(900, "f2", "started", "address", "a")},
     "given_up",
     "the connection to its dispatcher failed; f2 restarted: its process had ended",
     {"it was forwarded to f2, which logged nothing about it"}},
    {"given_up_soon_after_its_dispatcher_started",
     {other_event(-500, "f2", "started", "address", "a"), job_event(0, "f1", "job_taken", "q"),
      job_event(1, "f1", "job_passed", "f2"), job_event(2, "f2", "task_started", "x1"),
      job_event(300, "f1", "pass_lost", "f2: connection lost"),
      job_event(300, "f1", "job_answered", "given_up")},
     "given_up",
     "the connection to its dispatcher failed; no entry reported f2 lost: only the connection "
     "failed",
     {}},
    {"given_up_when_too_late",
     {job_event(0, "f1", "job_taken", "q"), job_event(1, "f1", "task_started", "x1"),
      job_event(300, "f1", "job_given_up", "its caller's patience ends"),
      job_event(300, "f1", "job_answered", "given_up")},
     "given_up",
     "given up: its caller's patience ends (f1)",
     {}},
    {"failed_on_unreliable_executors",
     {job_event(0, "f1", "job_taken", "q"), job_event(1, "f1", "task_started", "x1"),
      job_event(50, "f1", "task_failed", "x1"), job_event(51, "f1", "task_started", "x2"),
      job_event(90, "f1", "task_failed", "x2"), job_event(90, "f1", "job_answered", "failed"),
      other_event(70, "f1", "executor_rested", "executor", "x1"),
      other_event(70, "f1", "executor_rested", "executor", "x9")},
     "failed",
     "tasks failed on x1, x2; tasks of other jobs failed on x1 too",
     {}},
    {"failed_on_reliable_executors",
     {job_event(0, "f1", "job_taken", "q"), job_event(1, "f1", "task_started", "x1"),
      job_event(50, "f1", "task_failed", "x1"), job_event(90, "f1", "job_answered", "failed")},
     "failed",
     "tasks failed on x1; no tasks of other jobs failed there: the job itself is at fault",
     {}},
    {"unanswered_by_an_entry_that_restarted",
     {job_event(0, "f1", "job_taken", "q"), other_event(1500, "f1", "started", "address", "a")},
     "",
     "f1 ended while it held the job: it restarted 1500 ms later",
     {}},
    {"unanswered_by_an_entry_reported_lost",
     {job_event(0, "f1", "job_taken", "q"), other_event(900, "f2", "entry_lost", "entry", "f1")},
     "",
     "no answer was logged: f1 was reported lost by 1 entry: it ended, stalled or was disconnected",
     {}},
    {"abandoned_by_its_caller",
     {job_event(0, "f1", "job_taken", "q"),
      job_event(200, "f1", "job_abandoned", "its caller has left")},
     "abandoned",
     "its caller disconnected before the answer",
     {}},
    {"left_by_its_caller_while_forwarded",
     {job_event(0, "f1", "job_taken", "q"), job_event(1, "f1", "job_passed", "f2"),
      job_event(2, "f2", "job_received", "f1: last heartbeat 10 ms ago"),
      job_event(200, "f1", "caller_left", "after 200 ms, forwarded to f2"),
      job_event(201, "f2", "job_dropped", "f1: connection ended, last heartbeat 10 ms ago"),
      job_event(201, "f2", "job_abandoned", "its caller has left")},
     "abandoned",
     "its caller disconnected before the answer",
     {}},
    {"succeeded_after_a_failure",
     {job_event(0, "f1", "job_taken", "q"), job_event(50, "f1", "task_failed", "x1"),
      job_event(120, "f1", "job_answered", "succeeded")},
     "succeeded",
     "succeeded within 120 ms; tasks failed on x1 and were retried",
     {}},
    {"with_suppressed_lines",
     {job_event(0, "f1", "job_taken", "q"),
      job_event(120, "f1", "job_answered", "not_run"),
      {500'000, "f1", "lines_suppressed", {{"of", "job_refused"}, {"lines", "31"}}}},
     "not_run",
     "refused; the logs do not show which entry refused it",
     {"31 lines of job_refused were suppressed at f1"}},
};

class causes : public testing::TestWithParam<story_case> {};

TEST_P(causes, are_found_from_logs_in_any_order) {
    auto log = GetParam().log;
    std::reverse(log.begin(), log.end());
    log.push_back({1, "f9", "job_taken", {{"job", "another"}}});
    const auto story = reconstruct_story(job, log);
    ASSERT_EQ(story.attempts.size(), 1U);
    EXPECT_EQ(story.attempts[0].outcome, GetParam().outcome);
    EXPECT_EQ(story.attempts[0].cause, GetParam().cause);
    EXPECT_EQ(story.attempts[0].missing, GetParam().missing);
}

INSTANTIATE_TEST_SUITE_P(all, causes, testing::ValuesIn(stories),
                         [](const auto& it) { return it.param.name; });

TEST(job_story, has_a_cause_for_each_attempt) {
    const auto story = reconstruct_story(job, {job_event(0, "f1", "job_taken", "q"),
                                               job_event(3, "f1", "job_answered", "not_run"),
                                               job_event(1300, "f2", "job_taken", "q"),
                                               job_event(1400, "f2", "job_answered", "succeeded")});
    ASSERT_EQ(story.attempts.size(), 2U);
    EXPECT_EQ(story.attempts[0].outcome, "not_run");
    EXPECT_EQ(story.attempts[1].cause, "succeeded within 100 ms");
}

// Both the line for each task that earlier versions wrote and the line for several tasks.
TEST(job_story, has_the_incidents_of_all_executors_that_tasks_were_started_on) {
    const auto story = reconstruct_story(
        job, {job_event(0, "f1", "job_taken", "q"), job_event(1, "f1", "task_started", "x1"),
              job_event(2, "f1", "tasks_started", "x2 x3#2"),
              job_event(500, "f1", "job_answered", "succeeded"),
              other_event(50, "f1", "executor_silent", "executor", "x1"),
              other_event(51, "f1", "stop_unanswered", "executor", "x2"),
              other_event(52, "f1", "executor_rested", "executor", "x3"),
              other_event(53, "f1", "executor_rested", "executor", "x3#2"),
              other_event(54, "f1", "executor_rested", "executor", "x4")});
    std::vector<std::string> names;
    for (const auto& it : story.incidents) {
        names.push_back(it.name + " " + it.field("executor"));
    }
    EXPECT_EQ(names, (std::vector<std::string>{"executor_silent x1", "stop_unanswered x2",
                                               "executor_rested x3"}));
}

// A dispatcher that abandons an attempt of another entry's caller may hold the next attempt.
TEST(job_story, does_not_end_an_attempt_when_its_entry_abandons_one_that_was_forwarded_to_it) {
    const auto story = reconstruct_story(
        job, {job_event(0, "f1", "job_taken", "q"), job_event(1, "f1", "job_passed", "f2"),
              job_event(2, "f2", "job_received", "f1: last heartbeat 10 ms ago"),
              job_event(1300, "f2", "job_taken", "q"), job_event(1301, "f2", "job_passed", "f3"),
              job_event(1400, "f2", "job_abandoned", "its caller has left"),
              job_event(1500, "f2", "job_answered", "succeeded")});
    ASSERT_EQ(story.attempts.size(), 2U);
    EXPECT_EQ(story.attempts[1].outcome, "succeeded");
    EXPECT_EQ(story.attempts[1].end_us, 1'500'000);
}

TEST(job_story, is_empty_without_log_lines_of_the_job) {
    EXPECT_TRUE(
        reconstruct_story(job, {other_event(1, "f1", "entry_lost", "entry", "f2")}).events.empty());
}

} // namespace
} // namespace savorytrail::log_story
