// Tests of the capacity kept for more urgent priority levels.
#include <gtest/gtest.h>

#include "core/cell/ranking.h"
#include "core/cell/room_reservation.h"
#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

constexpr int lowest = std::numeric_limits<int>::min();
const common::time_point start{std::chrono::hours(1)};

work::job make_prioritized(const std::string& id, int priority, int tasks, std::int64_t task_ms,
                           std::int64_t cpu_millis = 32000) {
    auto job =
        make_job(id, tasks, milliseconds(task_ms), cpu_millis, "q" + std::to_string(priority));
    job.queue.priority = priority;
    return job;
}

struct reservation_case {
    const char* name;
    int urgent_priority = 0;
    // 40 jobs of the urgent level arrive in 2 s before the candidate.
    int tasks = 2;
    std::int64_t task_ms = 100;
    std::int64_t cpu_millis = 32000;
    std::optional<int> shortage_ms_ago = 10; // of the urgent level
    double urgent_use = 0;                   // thousandths of a core
    double free = 200000;                    // of 1,800 cores
    int priority = 2;                        // of the candidate of 4 tasks of 32 cores
    std::int64_t candidate_ms = 900;
    int waited_ms = 0;
    bool has_run = false;
    bool waits = false;
};

class reservation : public testing::TestWithParam<reservation_case> {};

TEST_P(reservation, holds_back_only_for_contended_urgent_levels) {
    const auto& it = GetParam();
    room_reservation rooms;
    auto now = start;
    for (int i = 0; i < 40; i++, now += milliseconds(50)) {
        rooms.add_job(
            make_prioritized("u", it.urgent_priority, it.tasks, it.task_ms, it.cpu_millis), now);
    }
    const auto candidate = make_prioritized("c", it.priority, 4, it.candidate_ms);
    rooms.add_job(candidate, now);
    if (it.shortage_ms_ago) {
        rooms.note_shortage(it.urgent_priority, now - milliseconds(*it.shortage_ms_ago));
    }
    job_record job(candidate, limits(), now - milliseconds(it.waited_ms));
    if (it.has_run) {
        job.note_start();
    }
    rooms.begin_pass(it.free, 1800000);
    rooms.add_use(it.urgent_priority, it.urgent_use);
    const auto level = rooms.must_wait_for(job, job.waiting_cpu_millis(), now);
    EXPECT_EQ(level.has_value(), it.waits);
    EXPECT_EQ(level.value_or(it.urgent_priority), it.urgent_priority);
}

// The urgent level needs about 80 cores on average: 20 jobs a second of 64 cores for 100 ms.
INSTANTIATE_TEST_SUITE_P(
    policy, reservation,
    testing::Values(
        reservation_case{.name = "need_not_covered", .waits = true},
        reservation_case{.name = "need_covered", .free = 300000},
        reservation_case{.name = "need_in_use_already", .urgent_use = 200000},
        reservation_case{.name = "no_shortage_seen", .shortage_ms_ago = {}},
        reservation_case{.name = "shortage_long_ago", .shortage_ms_ago = 400},
        reservation_case{.name = "shortage_of_own_level", .urgent_priority = 2},
        reservation_case{.name = "shortage_of_less_urgent", .urgent_priority = 3},
        reservation_case{.name = "slack_used_up", .waited_ms = 450},
        reservation_case{.name = "slack_left", .waited_ms = 200, .waits = true},
        reservation_case{.name = "some_tasks_have_run", .has_run = true},
        reservation_case{.name = "at_most_a_quarter", .tasks = 1000000000, .free = 600000},
        reservation_case{.name = "up_to_a_quarter", .tasks = 1000, .free = 570000, .waits = true},
        reservation_case{.name = "size_zero", .cpu_millis = 0},
        reservation_case{.name = "size_negative", .cpu_millis = -32000},
        reservation_case{
            .name = "size_beyond_executors", .cpu_millis = 1000000000000, .free = 600000},
        reservation_case{.name = "estimate_zero", .task_ms = 0},
        reservation_case{.name = "estimate_absurd", .task_ms = 1000000000000, .free = 600000},
        reservation_case{.name = "tasks_negative", .tasks = -1},
        reservation_case{.name = "priority_absurd", .priority = 1000000000, .waits = true},
        reservation_case{.name = "priority_negative", .urgent_priority = lowest, .waits = true}),
    [](const auto& it) { return it.param.name; });

// A shortage that is seen within a pass says nothing about what was free when the pass began.
TEST(reservation_pass, holds_nothing_back_unless_it_began_with_contention) {
    room_reservation rooms;
    const auto candidate = make_prioritized("c", 2, 4, 900);
    rooms.add_job(make_prioritized("u", 0, 8, 60), start);
    rooms.add_job(candidate, start);
    rooms.note_shortage(0, start);
    const job_record job(candidate, limits(), start);
    EXPECT_FALSE(rooms.must_wait_for(job, job.waiting_cpu_millis(), start));
    rooms.begin_pass(128000, 1800000);
    EXPECT_TRUE(rooms.must_wait_for(job, job.waiting_cpu_millis(), start));
    rooms.end_pass();
    EXPECT_FALSE(rooms.must_wait_for(job, job.waiting_cpu_millis(), start));
}

// Guards against growth by priorities that callers or settings make up.
TEST(reservation_levels, are_bounded_and_keep_the_recent_ones) {
    room_reservation rooms;
    auto now = start;
    for (int i = 0; i < 1000; i++, now += milliseconds(1)) {
        rooms.note_shortage(-i * 1000003, now);
    }
    const auto levels = rooms.contended_levels(now);
    EXPECT_EQ(levels.size(), 8);
    EXPECT_TRUE(std::is_sorted(levels.begin(), levels.end()));
    EXPECT_EQ(levels.front(), -999 * 1000003);
}

// Urgent jobs need a cell of 16 places for 2 s, the last ones in vain; when all have ended, a job
// of a lower priority that needs 14 places comes.
struct held_job {
    simulated_cell cell{3, 8, {64000, 131072, 0}, 1, reserving_limits()};
    std::optional<work::outcome> outcome;
    std::uint64_t ticket = 0;

    held_job() {
        cell.is_tracing = true;
        cell.at(0).assign(cell.executor_infos());
        cell.run_for(milliseconds(200));
        for (int i = 0; i < 60; i++) {
            cell.at(0).submit(make_prioritized("u" + std::to_string(i), 0, 8, 60),
                              [](const auto&) {});
            cell.run_for(milliseconds(i % 2 == 0 ? 0 : 65));
        }
        cell.run_for(milliseconds(100));
        ticket = cell.at(0).submit(make_prioritized("held", 2, 14, 900),
                                   [this](const auto& it) { outcome = it; });
    }

    int traced(const std::string& text) const {
        return static_cast<int>(
            std::count_if(cell.trace.begin(), cell.trace.end(), [&](const std::string& it) {
                return it.find(text) != std::string::npos;
            }));
    }
};

TEST(held_back_job, starts_whole_when_contention_ends_without_any_report) {
    held_job it;
    EXPECT_EQ(it.traced("held job_held_back"), 1);
    EXPECT_EQ(it.traced("held tasks_started"), 0);
    it.cell.run_for(milliseconds(340)); // the shortage counts for 300 ms, a tick takes 40
    EXPECT_EQ(it.traced("held job_held_back"), 1);
    EXPECT_EQ(it.traced("held tasks_started"), 1);
    it.cell.run_for(milliseconds(1000));
    ASSERT_TRUE(it.outcome);
    EXPECT_EQ(it.outcome->end, work::job_end::succeeded);
    EXPECT_TRUE(it.cell.violations.empty());
}

TEST(held_back_job, takes_its_cores_off_the_published_load_and_adds_no_backlog) {
    held_job it;
    const auto load = it.cell.at(0).jobs().load();
    EXPECT_EQ(load.backlog_ms, 0);
    EXPECT_GE(load.usable_cpu_millis, 0);
    EXPECT_LE(load.usable_cpu_millis, load.free_cpu_millis - std::int64_t{14} * 32000);
}

TEST(held_back_job, is_not_run_when_its_caller_leaves_or_the_vm_stands_still) {
    held_job left;
    left.cell.at(0).abandon(left.ticket);
    held_job frozen;
    frozen.cell.at(0).freeze(milliseconds(3000));
    for (auto* it : {&left, &frozen}) {
        it->cell.run_for(milliseconds(5000));
        EXPECT_EQ(it->traced("held tasks_started"), 0);
        EXPECT_EQ(it->cell.at(0).jobs().open_jobs(), 0);
    }
    EXPECT_FALSE(left.outcome);
    ASSERT_TRUE(frozen.outcome);
    EXPECT_EQ(frozen.outcome->end, work::job_end::not_run);
}

struct absurd_case {
    const char* name;
    int priority;
    int tasks;
    std::int64_t task_ms;
    std::int64_t cpu_millis;
};

class absurd_jobs : public testing::TestWithParam<absurd_case> {};

// Jobs that cannot run or that claim any urgency must not keep a cell from the others' work.
TEST_P(absurd_jobs, leave_others_their_capacity) {
    simulated_cell cell{3, 8, {64000, 131072, 0}, 1, reserving_limits()};
    cell.at(0).assign(cell.executor_infos());
    cell.run_for(milliseconds(200));
    int succeeded = 0;
    for (int i = 0; i < 60; i++) {
        const auto& it = GetParam();
        cell.at(0).submit(make_prioritized("x" + std::to_string(i), it.priority, it.tasks,
                                           it.task_ms, it.cpu_millis),
                          [](const auto&) {});
        cell.at(0).submit(make_prioritized("j" + std::to_string(i), 1, 2, 100),
                          [&](const auto& outcome) {
                              succeeded += outcome.end == work::job_end::succeeded ? 1 : 0;
                          });
        cell.run_for(milliseconds(40));
    }
    cell.run_for(milliseconds(3000));
    EXPECT_EQ(succeeded, 60);
    EXPECT_EQ(cell.at(0).jobs().open_jobs(), 0);
    EXPECT_TRUE(cell.violations.empty());
}

INSTANTIATE_TEST_SUITE_P(
    policy, absurd_jobs,
    testing::Values(absurd_case{"larger_than_any_executor", 0, 2, 60, 65000},
                    absurd_case{"size_beyond_bounds", 0, 2, 60, 1000000000000},
                    absurd_case{"size_zero", 0, 2, 60, 0},
                    absurd_case{"estimate_zero", 0, 2, 0, 8000},
                    absurd_case{"estimate_beyond_bounds", 0, 2, 1000000000000, 32000},
                    absurd_case{"priority_negative", lowest, 2, 60, 8000},
                    absurd_case{"priority_beyond_bounds", 1000000000, 2, 60, 8000}),
    [](const auto& it) { return it.param.name; });

struct tie_case {
    const char* name;
    int other_ms; // by how much the job of priority 2 arrived earlier
    bool is_urgent_first;
};

class latest_start_ties : public testing::TestWithParam<tie_case> {};

TEST_P(latest_start_ties, are_broken_by_priority_within_20_ms) {
    const job_record urgent(make_prioritized("a", 0, 1, 100), {}, start + milliseconds(15));
    const job_record other(make_prioritized("b", 2, 1, 100), {},
                           start + milliseconds(15 - GetParam().other_ms));
    EXPECT_EQ(rank_of(urgent, start) < rank_of(other, start), GetParam().is_urgent_first);
}

INSTANTIATE_TEST_SUITE_P(policy, latest_start_ties,
                         testing::Values(tie_case{"same", 0, true}, tie_case{"close", 15, true},
                                         tie_case{"apart", 45, false},
                                         tie_case{"later", -45, true}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail::cell
