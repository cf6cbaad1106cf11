// Duration of the platform stand-in's faults.
#include "stand_ins/platform/fault_switch.h"

#include <gtest/gtest.h>

namespace savorytrail::stand_ins {
namespace {

TEST(fault_switch, lasts_for_the_given_number_of_calls) {
    fault_switch it;
    it.set({platform_mode::down, {}, 2});
    EXPECT_EQ(it.take().mode, platform_mode::down);
    EXPECT_EQ(it.take().mode, platform_mode::down);
    EXPECT_EQ(it.take().mode, platform_mode::up);
}

TEST(fault_switch, without_a_limit_lasts_until_changed) {
    fault_switch it;
    it.set({platform_mode::slow, std::chrono::milliseconds(5), 0});
    for (int i = 0; i < 100; i++)
        EXPECT_EQ(it.take().delay, std::chrono::milliseconds(5));
    it.set({});
    EXPECT_EQ(it.take().mode, platform_mode::up);
}

} // namespace
} // namespace savorytrail::stand_ins
