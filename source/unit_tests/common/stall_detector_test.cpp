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

TEST(stall_detector, lets_a_process_that_is_always_late_go_on_at_every_second_tick) {
    manual_clock clock;
    stall_detector stalls(clock, tolerated);
    int ticks_in_time = 0;
    for (int i = 0; i < 10; i++) {
        clock.advance(milliseconds(200));
        stalls.tick();
        ticks_in_time += stalls.is_catching_up() ? 0 : 1;
    }
    EXPECT_EQ(ticks_in_time, 5);
}

} // namespace
} // namespace savorytrail::common
