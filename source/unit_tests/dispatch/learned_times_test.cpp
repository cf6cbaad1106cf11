// Tests of learned service times.
#include "core/dispatch/learned_times.h"

#include <gtest/gtest.h>

namespace savorytrail::dispatch {
namespace {

using common::milliseconds;

struct kind_case {
    const char* one;
    const char* other;
    bool same;
};

class kinds : public testing::TestWithParam<kind_case> {};

TEST_P(kinds, leave_out_the_query) {
    const auto& it = GetParam();
    EXPECT_EQ(task_kind(it.one) == task_kind(it.other), it.same);
}

INSTANTIATE_TEST_SUITE_P(table, kinds,
                         testing::Values(kind_case{"/book?id=1", "/book?id=2", true},
                                         kind_case{"/book", "/book?id=2", true},
                                         kind_case{"/book", "/check", false},
                                         kind_case{"/book/1", "/book", false}));

TEST(learned_times, replace_declared_ones_once_known) {
    learned_times times;
    EXPECT_EQ(times.estimate(1, milliseconds(1000)).typical, milliseconds(1000));
    EXPECT_EQ(times.estimate(1, milliseconds(1000)).minimum, milliseconds(100));
    for (int i = 0; i < 5; i++)
        times.record(1, milliseconds(80));
    EXPECT_EQ(times.estimate(1, milliseconds(1000)).typical, milliseconds(80));
    EXPECT_EQ(times.estimate(2, milliseconds(1000)).typical, milliseconds(1000));
    EXPECT_EQ(times.estimate(2, milliseconds(0)).typical, milliseconds(80));
    EXPECT_EQ(times.estimate(2, milliseconds(0)).slow_after, milliseconds(0));
}

TEST(learned_times, follow_a_change_and_resist_an_outlier) {
    learned_times times;
    for (int i = 0; i < 20; i++)
        times.record(1, milliseconds(100));
    times.record(1, milliseconds(100000));
    EXPECT_LE(times.estimate(1, milliseconds(0)).typical, milliseconds(150));
    for (int i = 0; i < 100; i++)
        times.record(1, milliseconds(400));
    EXPECT_GE(times.estimate(1, milliseconds(0)).typical, milliseconds(390));
}

TEST(learned_times, a_tenfold_time_is_slow_and_a_double_one_is_not) {
    learned_times times;
    for (int i = 0; i < 20; i++)
        times.record(1, milliseconds(100));
    const auto slow_after = times.estimate(1, milliseconds(0)).slow_after;
    EXPECT_GT(slow_after, milliseconds(200));
    EXPECT_LT(slow_after, milliseconds(1000));
}

} // namespace
} // namespace savorytrail::dispatch
