// Tests of the forecast of when a job's tasks can start while all executors are in use.
#include "core/cell/start_forecast.h"

#include <gtest/gtest.h>

#include <list>

#include "unit_tests/cell/jobs.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

const common::time_point start{std::chrono::hours(1)};
constexpr std::int64_t task_cpu_millis = 14000;

// Runs of one task each that are expected to end after these times, from now.
using ends_on_executor = std::vector<int>;

executor_map make_executors(const std::vector<ends_on_executor>& list) {
    executor_map result;
    for (const auto& ends : list) {
        work::executor_info info;
        info.id = "x" + std::to_string(result.size());
        info.upstream = "u";
        info.capacity = {32000, 1 << 20, 0}; // two tasks
        auto record = std::make_unique<executor_record>(info, limits(), 1);
        record->state = claim_state::held;
        record->clock.observe(1, start);
        for (const int end_ms : ends) {
            run_record run;
            run.occupied = {task_cpu_millis, 64, 0};
            run.state = run_state::running;
            run.started_at = start - milliseconds(100);
            run.expected = milliseconds(100 + end_ms);
            run.time_limit = milliseconds(10000);
            record->used += run.occupied;
            record->runs[{{"job " + std::to_string(record->runs.size()), 0, 0, 0}, 1}] = run;
        }
        result[info.id] = std::move(record);
    }
    return result;
}

job_record make_record(const std::string& id, int tasks, int task_ms,
                       std::int64_t cpu_millis = task_cpu_millis) {
    job_record it(make_job(id, tasks, milliseconds(task_ms), cpu_millis), limits(), start);
    it.unblock();
    return it;
}

struct waiting_job {
    int tasks = 0;
    int task_ms = 0;
};

struct forecast_case {
    const char* name;
    std::vector<ends_on_executor> executors;
    std::vector<waiting_job> ahead;
    int tasks = 1;
    std::optional<int> expected_ms;
    std::int64_t cpu_millis = task_cpu_millis;
};

class a_forecast : public testing::TestWithParam<forecast_case> {};

TEST_P(a_forecast, says_when_the_last_task_can_start) {
    const auto& it = GetParam();
    std::list<job_record> jobs;
    std::vector<const job_record*> ahead;
    for (const auto& job : it.ahead) {
        jobs.push_back(make_record("ahead " + std::to_string(jobs.size()), job.tasks, job.task_ms));
        ahead.push_back(&jobs.back());
    }
    const auto candidate = make_record("candidate", it.tasks, 60, it.cpu_millis);
    const auto found = forecast_start(candidate, ahead, make_executors(it.executors), start);
    const auto expected =
        it.expected_ms ? std::optional(milliseconds(*it.expected_ms)) : std::nullopt;
    EXPECT_EQ(found, expected);
}

INSTANTIATE_TEST_SUITE_P(
    burst, a_forecast,
    testing::Values(
        forecast_case{"room_for_all", {{}, {}}, {}, 4, 0},
        forecast_case{"one_task_waits_for_a_run", {{}, {30, 50}}, {}, 3, 30},
        // No work waits, but eight tasks need eight places.
        forecast_case{"a_wide_job_waits_for_many_runs",
                      {{110, 180}, {120, 190}, {130, 200}, {105, 140}},
                      {},
                      8,
                      180},
        forecast_case{"its_own_tasks_end_and_make_room", {{}}, {}, 4, 60},
        forecast_case{"a_job_goes_first", {{20, 500}}, {{1, 100}}, 1, 120},
        forecast_case{"a_run_is_overdue", {{-40, 500}}, {}, 1, 40},
        forecast_case{"too_large_for_every_executor", {{}, {}}, {}, 1, std::nullopt, 40000},
        forecast_case{"no_executors", {}, {}, 1, std::nullopt},
        forecast_case{"absurdly_many_tasks_go_first", {{}}, {{100000, 1000}}, 1, std::nullopt}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail::cell
