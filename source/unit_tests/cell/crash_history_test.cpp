// Guards against blaming the wrong task for a crash, and against losing count of crashes between
// cells.
#include "core/cell/crash_history.h"

#include <gtest/gtest.h>

namespace savorytrail::cell {
namespace {

using common::milliseconds;

const work::task_id first{"first", 0, 0, 0};
const work::task_id second{"second", 0, 0, 0};

crashed_run run_of(const work::task_id& task, int age_ms, bool was_isolated = false) {
    return {{task, 1}, milliseconds(age_ms), was_isolated};
}

struct crash_case {
    std::string name;
    std::vector<executor_crash> crashes;
    bool is_first_suspect = false;
    bool is_first_proven = false;
    bool is_second_suspect = false;
    bool is_second_proven = false;
};

std::string name_of(const testing::TestParamInfo<crash_case>& it) {
    return it.param.name;
}

class crashes : public testing::TestWithParam<crash_case> {};

TEST_P(crashes, blame) {
    crash_history history;
    common::time_point now;
    for (const auto& it : GetParam().crashes) {
        history.note_crash(it, now);
    }
    EXPECT_EQ(history.is_suspect(crash_key_of(first)), GetParam().is_first_suspect);
    EXPECT_EQ(history.is_proven(crash_key_of(first)), GetParam().is_first_proven);
    EXPECT_EQ(history.is_suspect(crash_key_of(second)), GetParam().is_second_suspect);
    EXPECT_EQ(history.is_proven(crash_key_of(second)), GetParam().is_second_proven);
}

INSTANTIATE_TEST_SUITE_P(
    crash_history, crashes,
    testing::Values(
        crash_case{"the_only_run", {{"e1", 1, {run_of(first, 50)}}}, true},
        crash_case{"the_youngest_run", {{"e1", 1, {run_of(first, 10), run_of(second, 60)}}}, true},
        crash_case{"runs_started_together",
                   {{"e1", 1, {run_of(first, 10), run_of(second, 14)}}},
                   true,
                   false,
                   true},
        crash_case{"nobody_if_none_has_just_started",
                   {{"e1", 1, {run_of(first, 150), run_of(second, 900)}}}},
        crash_case{
            "any_run_with_a_second_crash",
            {{"e1", 1, {run_of(first, 150), run_of(second, 900)}}, {"e2", 1, {run_of(first, 700)}}},
            true},
        crash_case{"a_second_crash_beside_others_proves_nothing",
                   {{"e1", 1, {run_of(first, 60), run_of(second, 10)}},
                    {"e2", 1, {run_of(first, 60), run_of({"third", 0, 0, 0}, 10)}}},
                   true,
                   false,
                   true},
        crash_case{"a_second_crash_alone",
                   {{"e1", 1, {run_of(first, 10), run_of(second, 60)}},
                    {"e2", 1, {run_of(first, 10, true)}}},
                   true,
                   true},
        crash_case{"three_crashes_beside_others",
                   {{"e1", 1, {run_of(first, 60), run_of(second, 10)}},
                    {"e2", 1, {run_of(first, 60), run_of({"third", 0, 0, 0}, 10)}},
                    {"e3", 1, {run_of(first, 60), run_of({"fourth", 0, 0, 0}, 10)}}},
                   true,
                   true,
                   true},
        crash_case{"the_same_process_counts_once",
                   {{"e1", 1, {run_of(first, 10)}},
                    {"e1", 1, {run_of(first, 10)}},
                    {"e1", 1, {run_of(first, 10, true)}}},
                   true},
        crash_case{"another_process_of_the_executor_counts",
                   {{"e1", 1, {run_of(first, 10)}}, {"e1", 2, {run_of(first, 10, true)}}},
                   true,
                   true}),
    name_of);

// Guards against a job that fails because its executor was only cut off.
TEST(crash_history, clears_a_task_whose_executor_answers_again) {
    crash_history history;
    const common::time_point now;
    history.note_crash({"e1", 1, {run_of(first, 10)}}, now);
    history.note_refuted("e1", 2);
    EXPECT_TRUE(history.is_suspect(crash_key_of(first)));
    history.note_refuted("e1", 1);
    EXPECT_FALSE(history.is_suspect(crash_key_of(first)));
    EXPECT_EQ(history.crashes(crash_key_of(first)), 0);
}

// Guards against an innocent task that is kept alone for good; its crashes still count.
TEST(crash_history, counts_the_crashes_of_a_cleared_task) {
    crash_history history;
    const common::time_point now;
    history.note_crash({"e1", 1, {run_of(first, 10)}}, now);
    history.note_survived(first);
    EXPECT_FALSE(history.is_suspect(crash_key_of(first)));
    EXPECT_EQ(history.crashes(crash_key_of(first)), 1);
    history.note_crash({"e2", 1, {run_of(first, 500), run_of(second, 20)}}, now);
    EXPECT_TRUE(history.is_suspect(crash_key_of(first)));
}

// Guards against a count that depends on the order, the number or the way of messages.
TEST(crash_history, merges_what_cells_tell_each_other) {
    const common::time_point now = common::time_point(std::chrono::hours(1));
    crash_history a;
    crash_history b;
    a.note_crash({"e1", 1, {run_of(first, 10)}}, now);
    b.note_crash({"e2", 1, {run_of(first, 10)}}, now);
    EXPECT_EQ(b.receive(a.to_share(now), now), (crash_history::received{0, true}));
    EXPECT_EQ(b.receive(a.to_share(now), now), (crash_history::received{0, false}));
    EXPECT_EQ(a.receive(b.to_share(now), now), (crash_history::received{0, true}));
    EXPECT_EQ(a.crashes(crash_key_of(first)), 2);
    EXPECT_EQ(b.crashes(crash_key_of(first)), 2);
    b.note_crash({"e3", 1, {run_of(first, 10, true)}}, now);
    a.receive(b.to_share(now), now);
    EXPECT_TRUE(a.is_proven(crash_key_of(first)));
}

// Guards against memory that grows, and against messages of any size or age.
TEST(crash_history, is_bounded) {
    crash_history history;
    const common::time_point now = common::time_point(std::chrono::hours(1));
    for (int i = 0; i < 2000; i++) {
        history.note_crash(
            {"e" + std::to_string(i), 1, {run_of({"job" + std::to_string(i), 0, 0, 0}, 10)}}, now);
    }
    EXPECT_EQ(history.size(), crash_history::max_tasks);
    EXPECT_EQ(history.to_share(now).size(), crash_history::max_shared);
    const std::vector<std::uint64_t> too_many(crash_history::max_executors + 1, 1);
    const std::vector<fleet::task_crashes> malformed{{1, {}, milliseconds(0), true, true},
                                                     {2, too_many, milliseconds(0), true, true},
                                                     {3, {1}, std::chrono::hours(2), true, true},
                                                     {4, {1}, milliseconds(-1), true, true}};
    EXPECT_EQ(history.receive(malformed, now), (crash_history::received{malformed.size(), false}));
    history.forget_old(now + std::chrono::hours(1));
    EXPECT_TRUE(history.is_empty());
}

} // namespace
} // namespace savorytrail::cell
