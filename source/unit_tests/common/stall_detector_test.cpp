// Tests of the detection of stalls, and of what a process must assume after one.
#include "core/common/stall_detector.h"

#include <gtest/gtest.h>

namespace savorytrail::common {
namespace {

constexpr milliseconds tolerated{160};

struct interval_case {
    const char* name;
    milliseconds elapsed;
    milliseconds suspended;
    bool is_stall;
};

class an_interval_between_ticks : public testing::TestWithParam<interval_case> {};

TEST_P(an_interval_between_ticks, is_a_stall_when_it_is_long) {
    manual_clock clock;
    stall_detector stalls(clock, tolerated);
    clock.advance(GetParam().elapsed);
    clock.suspend(GetParam().suspended);
    const auto wait =
        GetParam().is_stall ? GetParam().elapsed + GetParam().suspended : milliseconds(0);
    EXPECT_EQ(stalls.is_catching_up(), GetParam().is_stall);
    EXPECT_EQ(stalls.longest_wait(), wait);
    stalls.tick(); // may run before what arrived meanwhile
    EXPECT_EQ(stalls.is_catching_up(), GetParam().is_stall);
    EXPECT_EQ(stalls.longest_wait(), wait);
    clock.advance(milliseconds(40));
    stalls.tick();
    EXPECT_FALSE(stalls.is_catching_up());
    EXPECT_EQ(stalls.longest_wait(), milliseconds(0));
}

INSTANTIATE_TEST_SUITE_P(
    all, an_interval_between_ticks,
    testing::Values(interval_case{"usual", milliseconds(40), milliseconds(0), false},
                    interval_case{"as_long_as_tolerated", tolerated, milliseconds(0), false},
                    interval_case{"long", milliseconds(500), milliseconds(0), true},
                    interval_case{"with_a_suspension", milliseconds(40), milliseconds(500), true},
                    interval_case{"both_short", milliseconds(100), milliseconds(100), true}),
    [](const auto& it) { return std::string(it.param.name); });

// Leases were renewed in the second of two late ticks, before the disconnects of callers were read.
TEST(stall_detector, waits_for_a_tick_in_time_after_several_stalls) {
    manual_clock clock;
    stall_detector stalls(clock, tolerated);
    for (int i = 0; i < 10; i++) {
        clock.advance(milliseconds(200));
        stalls.tick();
        EXPECT_TRUE(stalls.is_catching_up());
    }
    clock.advance(milliseconds(40));
    stalls.tick();
    EXPECT_FALSE(stalls.is_catching_up());
}

} // namespace
} // namespace savorytrail::common
