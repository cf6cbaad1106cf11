// Tests of the admission to a cell: no refusal while tasks fit into room that nobody else can use,
// each job counted once as offered, and retry times that follow from the backlog.
#include "core/cell/admission.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "core/cell/cell_load.h"
#include "unit_tests/cell/jobs.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

const common::time_point start{std::chrono::hours(1)};

enum class condition {
    accepts,
    quarantined,
    on_probation,
    unresponsive,
    lost,
    retiring,
    foreign_run,
    overdue_run,
    exhausted
};

struct executor_case {
    std::int64_t capacity_cores = 64;
    std::int64_t used_cores = 0;
    condition is = condition::accepts;
    std::vector<std::string> labels = {};
};

executor_map make_executors(const std::vector<executor_case>& list) {
    executor_map result;
    for (const auto& it : list) {
        const auto id = "x" + std::to_string(result.size());
        work::executor_info info;
        info.id = id;
        info.upstream = "u";
        info.capacity = {it.capacity_cores * 1000, 1 << 20, 0};
        info.labels = it.labels;
        auto record = std::make_unique<executor_record>(info, limits(), 1);
        record->state = it.is == condition::lost ? claim_state::lost : claim_state::held;
        record->is_retiring = it.is == condition::retiring;
        record->missed_reports = it.is == condition::unresponsive ? 1 : 0;
        record->clock.observe(1, start);
        record->used.cpu_millis = it.used_cores * 1000;
        if (it.used_cores > 0) {
            record->runs[{{"other", 0, 0, 0}, 1}] = {};
        }
        if (it.is == condition::foreign_run) {
            record->foreign_runs.insert({{"foreign", 0, 0, 0}, 1});
        }
        if (it.is == condition::overdue_run) {
            auto& run = record->runs.begin()->second;
            run.state = run_state::running;
            run.started_at = start - std::chrono::minutes(1);
        }
        if (it.is == condition::exhausted) {
            record->resources_exhausted_until = start + milliseconds(50);
        }
        if (it.is == condition::quarantined) {
            record->health.note_overdue(start);
        }
        if (it.is == condition::on_probation) {
            record->health.note_overdue(start - std::chrono::minutes(1));
        }
        result[id] = std::move(record);
    }
    return result;
}

struct tasks_of {
    int tasks = 0;
    std::int64_t cores = 32;
};

struct room_case {
    const char* name;
    std::vector<executor_case> executors;
    std::vector<tasks_of> waiting; // jobs
    tasks_of candidate;
    job_room expected;
    std::string label = {};
    int max_per_executor = 0;
};

class room : public testing::TestWithParam<room_case> {};

TEST_P(room, counts_tasks_by_executor) {
    const auto& it = GetParam();
    const auto executors = make_executors(it.executors);
    std::list<job_record> jobs;
    for (const auto& waiting : it.waiting) {
        jobs.emplace_back(make_job("waiting-" + std::to_string(jobs.size()), waiting.tasks,
                                   milliseconds(100), waiting.cores * 1000),
                          limits(), start);
    }
    auto job =
        make_job("candidate", it.candidate.tasks, milliseconds(100), it.candidate.cores * 1000);
    job.steps[0].required_label = it.label;
    job.steps[0].max_per_executor = it.max_per_executor;
    EXPECT_EQ(room_for(job_record(job, limits(), start), jobs, executors, start), it.expected);
}

constexpr std::int64_t huge_cores = 1'000'000'000; // 10^12 thousandths

INSTANTIATE_TEST_SUITE_P(
    admission, room,
    testing::Values(
        room_case{"calm", {{64, 0}, {64, 0}}, {}, {4}, {4, 4, true}},
        room_case{"full", {{64, 64}, {64, 64}}, {}, {1}, {1, 0, false}},
        // 28 cores are left on each: 112 in sum, but no task fits.
        room_case{"free_cores_in_unusable_pieces",
                  {{64, 36}, {64, 36}, {64, 36}, {64, 36}},
                  {},
                  {2},
                  {2, 0, false}},
        room_case{"only_free_executor_is_too_small", {{64, 64}, {16, 0}}, {}, {1}, {1, 0, false}},
        room_case{"part_of_the_tasks_fits", {{64, 0}, {64, 36}}, {}, {8}, {8, 2, false}},
        room_case{"waiting_job_can_use_the_room", {{64, 32}}, {{1, 32}}, {1}, {1, 1, false}},
        room_case{"room_for_the_waiting_job_too", {{64, 0}}, {{1, 32}}, {1}, {1, 1, true}},
        room_case{"waiting_job_is_too_large", {{64, 32}}, {{1, 48}}, {1}, {1, 1, true}},
        // The first waiting job finds no room; the smaller one behind it does.
        room_case{"smaller_waiting_job_behind_a_too_large_one",
                  {{64, 32}},
                  {{1, 48}, {1, 32}},
                  {1},
                  {1, 1, false}},
        room_case{"quarantined", {{64, 0, condition::quarantined}}, {}, {1}, {1, 0, false}},
        room_case{
            "probation_takes_one", {{64, 0, condition::on_probation}}, {}, {2}, {2, 1, false}},
        room_case{"unresponsive", {{64, 0, condition::unresponsive}}, {}, {1}, {1, 0, false}},
        room_case{"claim_lost", {{64, 0, condition::lost}}, {}, {1}, {1, 0, false}},
        room_case{"retiring", {{64, 0, condition::retiring}}, {}, {1}, {1, 0, false}},
        room_case{"label_missing", {{64, 0}}, {}, {1}, {1, 0, false}, "gpu"},
        room_case{"label_present",
                  {{64, 0}, {64, 0, condition::accepts, {"gpu"}}},
                  {},
                  {2},
                  {2, 2, true},
                  "gpu"},
        room_case{"limit_by_executor", {{64, 0}}, {}, {2}, {2, 1, false}, "", 1},
        room_case{"no_executors", {}, {}, {1}, {1, 0, false}},
        room_case{"task_of_no_cores", {{64, 64}}, {}, {3, 0}, {3, 3, true}},
        room_case{"task_of_negative_cores", {{64, 0}}, {}, {3, -5}, {3, 3, true}},
        room_case{"huge_task", {{64, 0}}, {}, {1, huge_cores}, {1, 0, false}},
        room_case{"overbooked_executor", {{64, 100}}, {}, {1, 1}, {1, 0, false}}),
    [](const auto& it) { return it.param.name; });

struct load_case {
    const char* name;
    std::vector<executor_case> executors;
    std::int64_t usable_cores = 0;
};

class published_load : public testing::TestWithParam<load_case> {};

// Other entries sent jobs to cells by room on executors that took no work.
TEST_P(published_load, has_only_room_that_takes_work_as_usable) {
    const auto executors = make_executors(GetParam().executors);
    EXPECT_EQ(load_of(executors, packing(), 32000, executor_speeds(), start).usable_cpu_millis,
              GetParam().usable_cores * 1000);
}

INSTANTIATE_TEST_SUITE_P(
    admission, published_load,
    testing::Values(load_case{"idle", {{64, 0}, {64, 0}}, 128},
                    load_case{"free_cores_in_unusable_pieces", {{64, 36}, {64, 36}}, 0},
                    load_case{"quarantined", {{64, 0, condition::quarantined}, {64, 0}}, 64},
                    load_case{"on_probation", {{64, 0, condition::on_probation}}, 32},
                    load_case{"on_probation_with_a_run", {{64, 16, condition::on_probation}}, 0},
                    load_case{"runs_of_another_holder", {{64, 0, condition::foreign_run}}, 0},
                    load_case{"overdue_run", {{64, 16, condition::overdue_run}}, 0},
                    load_case{"has_rejected_a_start", {{64, 0, condition::exhausted}}, 0},
                    load_case{"unresponsive", {{64, 0, condition::unresponsive}}, 0},
                    load_case{"overbooked", {{64, 100}}, 0}),
    [](const auto& it) { return it.param.name; });

struct check_case {
    const char* name;
    admission_view view;
    job_room room;      // of the candidate
    double offered = 0; // by its queue within the second before, relative to the capacity
    std::optional<refusal_cause> expected;
    int retry_after_ms = 0;
};

class admission_check : public testing::TestWithParam<check_case> {};

TEST_P(admission_check, refuses_only_what_has_no_room) {
    const auto& it = GetParam();
    admission admission{fair_limits()};
    const auto now = start + milliseconds(1000);
    const auto burst =
        make_job("burst", 1, milliseconds(10), static_cast<std::int64_t>(it.offered * 640000));
    const auto is_burst_admitted = [&](common::time_point at) {
        return !admission.check(
            job_record(burst, limits(), at), {640000, 0, 1e9}, [] { return job_room(); }, at);
    };
    for (auto at = start; at < now; at += milliseconds(10)) {
        is_burst_admitted(at);
    }
    // Under overload, until the queue's share is used up.
    while (it.offered > 1 && is_burst_admitted(now)) {
    }
    const job_record candidate(make_job("a", 2, milliseconds(170), 32000), limits(), now);
    const auto refused = admission.check(
        candidate, it.view, [&] { return it.room; }, now);
    if (!it.expected) {
        EXPECT_FALSE(refused) << refused->outcome.reason;
        return;
    }
    ASSERT_TRUE(refused);
    EXPECT_EQ(to_string(refused->cause), to_string(*it.expected));
    EXPECT_EQ(refused->outcome.end, work::job_end::not_run);
    EXPECT_EQ(refused->outcome.retry_after, milliseconds(it.retry_after_ms));
    EXPECT_EQ(refused->room, it.room);
}

constexpr double cores = 640000; // ten executors of 64
constexpr job_room no_room{2, 0, false};
constexpr job_room all_fit{2, 2, true};
constexpr job_room claimed{2, 2, false};
constexpr double infinite = std::numeric_limits<double>::infinity();

INSTANTIATE_TEST_SUITE_P(
    admission, admission_check,
    testing::Values(
        check_case{"calm", {cores, 0, 0}, all_fit, 0.3, std::nullopt},
        check_case{"short_wait", {cores, cores * 50, cores * 50}, no_room, 0.3, std::nullopt},
        check_case{"burst_without_room",
                   {cores, 0, cores * 400},
                   no_room,
                   2.6,
                   refusal_cause::share,
                   1000},
        check_case{"burst_with_backlog_of_seconds",
                   {cores, 0, cores * 2400},
                   no_room,
                   2.6,
                   refusal_cause::share,
                   3000},
        // The replay refused such jobs by their queue's share while executors were free.
        check_case{"burst_with_room", {cores, 0, cores * 400}, all_fit, 2.6, std::nullopt},
        check_case{"burst_with_claimed_room",
                   {cores, 0, cores * 400},
                   claimed,
                   2.6,
                   refusal_cause::share,
                   1000},
        check_case{"too_late",
                   {cores, cores * 5000, cores * 5000},
                   no_room,
                   0,
                   refusal_cause::too_late,
                   5000},
        check_case{"fits_behind_jobs_that_cannot_use_the_room",
                   {cores, cores * 5000, cores * 5000},
                   all_fit,
                   0,
                   std::nullopt},
        check_case{"no_capacity", {0, 0, 0}, {}, 0, refusal_cause::no_executors, 1000},
        check_case{"negative_capacity", {-1, 5, 5}, {}, 0, refusal_cause::no_executors, 1000},
        check_case{"capacity_not_a_number",
                   {std::nan(""), 5, 5},
                   {},
                   0,
                   refusal_cause::no_executors,
                   1000},
        check_case{
            "none_is_large_enough", {cores, 0, 0, false}, {}, 0, refusal_cause::none_fits, 1000},
        check_case{"negative_work", {cores, -1e12, -1e12}, no_room, 0, std::nullopt},
        check_case{"huge_work", {cores, 1e30, 1e30}, no_room, 0, refusal_cause::too_late, 8000},
        check_case{"infinite_work",
                   {cores, infinite, infinite},
                   no_room,
                   0,
                   refusal_cause::too_late,
                   8000},
        check_case{"tiny_capacity", {1e-9, 1e12, 1e12}, no_room, 0, refusal_cause::too_late, 8000}),
    [](const auto& it) { return it.param.name; });

// A cell that left out what another one had refused took in more than it could do in time, so that
// jobs which it had admitted before were late.
TEST(admission, counts_a_job_as_offered_in_each_cell_that_it_comes_to) {
    admission second{fair_limits()};
    const admission_view view{cores, 0, cores * 100};
    for (int ms = 0; ms < 1000; ms += 10) {
        auto job = make_job("a", 1, milliseconds(10), 1'200'000);
        job.earlier_offers = 1;
        const auto now = start + milliseconds(ms);
        second.check(
            job_record(job, limits(), now), view, [] { return no_room; }, now);
    }
    EXPECT_TRUE(second.is_overloaded(cores, start + milliseconds(1000)));
}

struct retry_case {
    double backlog_ms;
    int expected_ms;
};

class retry_times : public testing::TestWithParam<retry_case> {};

TEST_P(retry_times, are_the_backlog_in_whole_seconds) {
    EXPECT_EQ(retry_after_for(GetParam().backlog_ms), milliseconds(GetParam().expected_ms));
}

INSTANTIATE_TEST_SUITE_P(admission, retry_times,
                         testing::Values(retry_case{0, 1000}, retry_case{-1e12, 1000},
                                         retry_case{1, 1000}, retry_case{1000, 1000},
                                         retry_case{1001, 2000}, retry_case{7400, 8000},
                                         retry_case{1e12, 8000}, retry_case{infinite, 8000},
                                         retry_case{std::nan(""), 1000}));

} // namespace
} // namespace savorytrail::cell
