// How long a fault of the platform stand-in lasts.
#include "stand_ins/platform/fault_switch.h"

#include <gtest/gtest.h>

namespace savorytrail::stand_ins {
namespace {

TEST(fault_switch, lasts_for_the_given_calls) {
    fault_switch it;
    it.set({platform_mode::down, {}, 2});
    EXPECT_EQ(it.take().mode, platform_mode::down);
    EXPECT_EQ(it.take().mode, platform_mode::down);
    EXPECT_EQ(it.take().mode, platform_mode::up);
}

TEST(fault_switch, lasts_until_changed_without_a_limit) {
    fault_switch it;
    it.set({platform_mode::slow, std::chrono::milliseconds(5), 0});
    for (int i = 0; i < 100; i++)
        EXPECT_EQ(it.take().delay, std::chrono::milliseconds(5));
    it.set({});
    EXPECT_EQ(it.take().mode, platform_mode::up);
}

} // namespace
} // namespace savorytrail::stand_ins
