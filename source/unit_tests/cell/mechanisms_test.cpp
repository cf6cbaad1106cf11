// Tests that each mechanism can be switched off by its name, and that a wrong name changes nothing.
#include "core/cell/mechanisms.h"

#include <gtest/gtest.h>

namespace savorytrail::cell {
namespace {

TEST(mechanisms, are_on_unless_switched_off_by_name) {
    for (const auto& it : mechanisms) {
        limits some;
        EXPECT_TRUE(some.*(it.is_on)) << it.name;
        EXPECT_TRUE(switch_off(it.name, some));
        EXPECT_FALSE(some.*(it.is_on)) << it.name;
        EXPECT_NE(some, limits());
    }
}

TEST(mechanisms, of_unknown_names_are_rejected) {
    for (const char* name : {"", "pack", "packing ", "reserves_capacity"}) {
        limits some;
        EXPECT_FALSE(switch_off(name, some)) << name;
        EXPECT_EQ(some, limits());
    }
}

} // namespace
} // namespace savorytrail::cell
