// Tests of what the logs tell of a job with attempts at several dispatchers: a table of made-up
// logs, among them both cases of issue 26.
#include "core/log_story/dispatch_story.h"

#include <gtest/gtest.h>

#include "core/log_story/job_story.h"

namespace savorytrail::log_story {
namespace {

using lines = std::vector<std::string>;

constexpr const char* job = "j1";

log_event line(int ms, const std::string& node, const std::string& name,
               const std::string& detail = "") {
    return {ms * 1000LL, node, name, {{"job", job}, {"detail", detail}}};
}

std::vector<log_event> joined(std::vector<log_event> list, const std::vector<log_event>& more) {
    list.insert(list.end(), more.begin(), more.end());
    return list;
}

// The entry e1 passes the job to d1, and gives up on it at 300 ms.
const std::vector<log_event> first_attempt = {
    line(0, "e1", "job_taken", "q"),
    line(1, "e1", "job_passed", "d1"),
    line(2, "d1", "job_received", "e1: last heartbeat 100 ms ago"),
    line(3, "d1", "tasks_started", "i-1 i-2"),
    line(300, "e1", "pass_lost", "d1: connection lost, last heartbeat 90 ms ago"),
    line(300, "e1", "job_answered", "given_up"),
};
// The caller sends again; d2 runs the job from 1603 ms to 1900 ms.
const std::vector<log_event> second_attempt = {
    line(1600, "e2", "job_taken", "q"),
    line(1601, "e2", "job_passed", "d2"),
    line(1602, "d2", "job_received", "e2: last heartbeat 80 ms ago"),
    line(1603, "d2", "tasks_started", "i-7 i-8#2"),
    line(1900, "d2", "job_succeeded"),
    line(1901, "e2", "job_answered", "succeeded"),
};
const auto both_attempts = joined(first_attempt, second_attempt);

constexpr const char* entry_end =
    "entry at 300 pass_lost (connection lost, last heartbeat 90 ms ago)";
const std::string first_dispatch = std::string("d1 for e1, attempt 1, start 3; ") + entry_end;
constexpr const char* second_dispatch =
    "d2 for e2, attempt 2, start 1603; entry at 1901 job_answered (succeeded); dispatcher at 1900 "
    "job_succeeded; over at 1900 job_succeeded";
constexpr const char* lacks_clocks = "how the clocks of the two VMs differ";
constexpr const char* lacks_tasks = "which tasks ran where: the lines name executors only";

struct dispatch_case {
    const char* name;
    std::vector<log_event> log;
    lines dispatches;         // as describe() has them
    lines dispatches_missing; // of all of them
    lines verdicts;
    lines missing; // of all verdicts
};

std::ostream& operator<<(std::ostream& out, const dispatch_case& it) {
    return out << it.name;
}

const std::vector<dispatch_case> cases = {
    {"issue_26_case_1_first_runs_stopped_late",
     joined(
         both_attempts,
         {line(1700, "d1", "job_dropped", "e1: entry lost, last heartbeat 1310 ms ago, not live"),
          line(1700, "d1", "job_abandoned", "its caller has left"),
          line(1760, "d1", "runs_stopped", "after 60 ms, 2 stopped, 0 ended by themselves")}),
     {first_dispatch +
          "; dispatcher at 1700 job_dropped (entry lost, last heartbeat 1310 ms ago, not live)"
          "; over at 1760 runs_stopped (after 60 ms, 2 stopped, 0 ended by themselves)",
      second_dispatch},
     {},
     {"runs of d1 and d2 may have overlapped for 157 ms: the last run of d1 ended 157 ms after the "
      "first start at d2"},
     {lacks_clocks, lacks_tasks}},
    {"issue_26_case_2_first_runs_never_stopped",
     joined(both_attempts, {line(2000, "d1", "job_succeeded")}),
     {first_dispatch + "; dispatcher at 2000 job_succeeded; over at 2000 job_succeeded",
      second_dispatch},
     {},
     {"runs of d1 and d2 may have overlapped for 297 ms: the last run of d1 ended 397 ms after the "
      "first start at d2"},
     {lacks_clocks, lacks_tasks}},
    {"first_runs_stopped_in_time",
     joined(both_attempts,
            {line(310, "d1", "job_dropped", "e1: connection ended, last heartbeat 10 ms ago"),
             line(310, "d1", "job_abandoned", "its caller has left"),
             line(330, "d1", "runs_stopped", "after 20 ms, 2 stopped, 0 ended by themselves")}),
     {first_dispatch +
          "; dispatcher at 310 job_dropped (connection ended, last heartbeat 10 ms ago)"
          "; over at 330 runs_stopped (after 20 ms, 2 stopped, 0 ended by themselves)",
      second_dispatch},
     {},
     {"runs of d1 and d2 did not overlap: 1273 ms between the last run and the first start"},
     {lacks_clocks}},
    {"end_of_the_first_runs_not_logged",
     joined(both_attempts,
            {line(1700, "d1", "job_dropped", "e1: entry lost, last heartbeat 1310 ms ago"),
             line(1700, "d1", "job_abandoned", "its caller has left")}),
     {first_dispatch + "; dispatcher at 1700 job_dropped (entry lost, last heartbeat 1310 ms ago)"
                       "; over not logged",
      second_dispatch},
     {"when the last run of d1 ended (no runs_stopped; or none ran any more)"},
     {"runs of d1 and d2 may have overlapped: no line tells when the last run of d1 ended; it "
      "worked on the job until 97 ms after the first start at d2"},
     {lacks_clocks, lacks_tasks}},
    {"first_dispatcher_restarted",
     joined(both_attempts, {{1'000'000, "d1", "started", {{"address", "a"}}}}),
     {first_dispatch + "; dispatcher not logged; over not logged", second_dispatch},
     {"the end of the attempt at d1, which restarted", "when the last run of d1 ended"},
     {"runs of d1 and d2 may have overlapped: no line tells when the last run of d1 ended"},
     {lacks_clocks, lacks_tasks}},
    {"log_of_the_first_dispatcher_missing",
     joined({first_attempt[0], first_attempt[1], first_attempt[4], first_attempt[5]},
            second_attempt),
     {std::string("d1 for e1, attempt 1, no start; ") + entry_end +
          "; dispatcher not logged; over not logged",
      second_dispatch},
     {"d1 logged nothing about the job"},
     {"runs of d1 and d2 may have overlapped: no line tells when the last run of d1 ended"},
     {lacks_clocks, lacks_tasks}},
    {"log_of_the_first_entry_missing",
     joined({first_attempt[2], first_attempt[3], line(900, "d1", "job_succeeded")}, second_attempt),
     {"d1 for e1, attempt unknown, start 3; entry not logged; dispatcher at 900 job_succeeded; "
      "over "
      "at 900 job_succeeded",
      "d2 for e2, attempt 1, start 1603; entry at 1901 job_answered (succeeded); dispatcher at "
      "1900 "
      "job_succeeded; over at 1900 job_succeeded"},
     {"e1, which held the caller, logged nothing about it"},
     {"runs of d1 and d2 did not overlap: 703 ms between the last run and the first start"},
     {lacks_clocks}},
    // Without the lines that versions before job_received lack.
    {"logs_of_earlier_versions",
     {line(0, "e1", "job_taken", "q"), line(1, "e1", "job_passed", "d1"),
      line(3, "d1", "task_started", "i-1"), line(4, "d1", "task_started", "i-2"),
      line(300, "e1", "pass_lost", "d1: connection lost"),
      line(300, "e1", "job_answered", "given_up"), line(1600, "d2", "job_taken", "q"),
      line(1603, "d2", "task_started", "i-7"), line(1700, "d1", "job_abandoned"),
      line(1900, "d2", "job_succeeded"), line(1901, "d2", "job_answered", "succeeded")},
     {"d1 for e1, attempt 1, start 3; entry at 300 pass_lost (connection lost); dispatcher at 1700 "
      "job_abandoned; over not logged",
      "d2 for d2, attempt 2, start 1603; entry at 1901 job_answered (succeeded); dispatcher at "
      "1900 "
      "job_succeeded; over at 1900 job_succeeded"},
     {"when the last run of d1 ended (no runs_stopped; or none ran any more)"},
     {"runs of d1 and d2 may have overlapped: no line tells when the last run of d1 ended; it "
      "worked on the job until 97 ms after the first start at d2"},
     {lacks_clocks, lacks_tasks}},
    {"suppressed_lines_are_named",
     joined(both_attempts,
            {line(1000, "d1", "job_succeeded"),
             {1'100'000, "d1", "lines_suppressed", {{"of", "tasks_started"}, {"lines", "7"}}}}),
     {first_dispatch + "; dispatcher at 1000 job_succeeded; over at 1000 job_succeeded",
      second_dispatch},
     {},
     {"runs of d1 and d2 did not overlap: 603 ms between the last run and the first start"},
     {lacks_clocks, "7 lines of tasks_started at d1"}},
    {"caller_left_its_first_entry",
     {line(0, "e1", "job_taken", "q"), line(1, "e1", "job_passed", "d1"),
      line(2, "d1", "job_received", "e1: last heartbeat 100 ms ago"),
      line(3, "d1", "tasks_started", "i-1"),
      line(200, "e1", "caller_left", "after 200 ms, forwarded to d1"),
      line(201, "d1", "job_dropped", "e1: abandoned by that entry, last heartbeat 9 ms ago"),
      line(201, "d1", "job_abandoned", "its caller has left"),
      line(210, "d1", "runs_stopped", "after 9 ms, 1 stopped, 0 ended by themselves")},
     {"d1 for e1, attempt 1, start 3; entry at 200 caller_left (after 200 ms, forwarded to d1); "
      "dispatcher at 201 job_dropped (abandoned by that entry, last heartbeat 9 ms ago); over at "
      "210 runs_stopped (after 9 ms, 1 stopped, 0 ended by themselves)"},
     {},
     {},
     {}},
    {"refused_and_unreachable_dispatchers_run_nothing",
     {line(0, "e1", "job_taken", "q"), line(1, "e1", "job_passed", "d1"),
      line(2, "d1", "job_received", "e1: last heartbeat 100 ms ago"),
      line(2, "d1", "job_refused", "overload"), line(3, "e1", "job_passed", "d2"),
      line(4, "e1", "pass_lost", "d2: not reached, nothing was sent, last heartbeat 300 ms ago"),
      line(5, "e1", "job_passed", "d3"),
      line(6, "d3", "job_received", "e1: last heartbeat 100 ms ago"),
      line(7, "d3", "tasks_started", "i-1"), line(90, "d3", "job_succeeded"),
      line(91, "e1", "job_answered", "succeeded")},
     {"d3 for e1, attempt 1, start 7; entry at 91 job_answered (succeeded); dispatcher at 90 "
      "job_succeeded; over at 90 job_succeeded"},
     {},
     {},
     {}},
    // The job came to d1 first, but waited there for an executor until d2 had done it.
    {"second_dispatcher_was_done_before_the_first_started",
     joined({first_attempt[0], first_attempt[1], first_attempt[2], first_attempt[4],
             first_attempt[5], line(1950, "d1", "tasks_started", "i-1"),
             line(2000, "d1", "job_succeeded")},
            second_attempt),
     {second_dispatch, std::string("d1 for e1, attempt 1, start 1950; ") + entry_end +
                           "; dispatcher at 2000 job_succeeded; over at 2000 job_succeeded"},
     {},
     {"runs of d2 and d1 did not overlap: 50 ms between the last run and the first start"},
     {lacks_clocks}},
    // A cell keeps runs of a task apart by itself.
    {"sent_again_to_the_same_dispatcher",
     joined(first_attempt,
            {line(310, "d1", "job_dropped", "e1: connection ended, last heartbeat 10 ms ago"),
             line(310, "d1", "job_abandoned", "its caller has left"),
             line(1602, "d1", "job_received", "e2: last heartbeat 80 ms ago"),
             line(1603, "d1", "tasks_started", "i-7"),
             line(1610, "d1", "runs_stopped", "after 1300 ms, 2 stopped, 0 ended by themselves"),
             line(1900, "d1", "job_succeeded")}),
     {first_dispatch +
          "; dispatcher at 310 job_dropped (connection ended, last heartbeat 10 ms ago)"
          "; over at 1610 runs_stopped (after 1300 ms, 2 stopped, 0 ended by "
          "themselves)",
      "d1 for e2, attempt unknown, start 1603; entry not logged; dispatcher at 1900 job_succeeded; "
      "over at 1900 job_succeeded"},
     {"e2, which held the caller, logged nothing about it"},
     {},
     {}},
};

std::string describe(const finding& it) {
    return it.at_us ? "at " + std::to_string(*it.at_us / 1000) + " " + it.how : "not logged";
}

std::string describe(const dispatch& it) {
    return it.dispatcher + " for " + it.entry + ", attempt " +
           (it.attempt == 0 ? "unknown" : std::to_string(it.attempt)) + ", " +
           (it.first_start_us ? "start " + std::to_string(*it.first_start_us / 1000) : "no start") +
           "; entry " + describe(it.entry_learnt) + "; dispatcher " +
           describe(it.dispatcher_learnt) + "; over " + describe(it.runs_over);
}

class dispatch_logs : public testing::TestWithParam<dispatch_case> {};

TEST_P(dispatch_logs, tell_who_ran_the_job_and_whether_runs_may_have_overlapped) {
    const auto story = reconstruct_story(job, GetParam().log);
    lines dispatches;
    lines dispatches_missing;
    for (const auto& it : story.dispatches) {
        dispatches.push_back(describe(it));
        dispatches_missing.insert(dispatches_missing.end(), it.missing.begin(), it.missing.end());
    }
    lines verdicts;
    lines missing;
    for (const auto& it : story.successions) {
        verdicts.push_back(it.verdict);
        missing.insert(missing.end(), it.missing.begin(), it.missing.end());
    }
    EXPECT_EQ(dispatches, GetParam().dispatches);
    EXPECT_EQ(dispatches_missing, GetParam().dispatches_missing);
    EXPECT_EQ(verdicts, GetParam().verdicts);
    EXPECT_EQ(missing, GetParam().missing);
}

INSTANTIATE_TEST_SUITE_P(all, dispatch_logs, testing::ValuesIn(cases),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail::log_story
