// Tests of the limit on log lines.
#include "core/telemetry/flood_gate.h"

#include <gtest/gtest.h>

namespace savorytrail::telemetry {
namespace {

TEST(flood_gate, counts_what_it_held_back_for_the_next_line) {
    common::manual_clock clock;
    flood_gate gate(clock, 2);
    EXPECT_EQ(gate.pass("a"), (flood_verdict{true, 0}));
    EXPECT_EQ(gate.pass("a"), (flood_verdict{true, 0}));
    for (int i = 0; i < 3; i++)
        EXPECT_EQ(gate.pass("a"), (flood_verdict{false, 0}));
    clock.advance(common::milliseconds(1000));
    EXPECT_EQ(gate.pass("a"), (flood_verdict{true, 3}));
    EXPECT_EQ(gate.pass("a"), (flood_verdict{true, 0}));
}

TEST(flood_gate, reports_once_what_an_event_that_went_quiet_lost) {
    common::manual_clock clock;
    flood_gate gate(clock, 1);
    gate.pass("a");
    gate.pass("a");
    EXPECT_TRUE(gate.take_suppressed().empty());
    clock.advance(common::milliseconds(1000));
    const auto lost = gate.take_suppressed();
    ASSERT_EQ(lost.size(), 1U);
    EXPECT_EQ(lost[0], (std::pair<std::string, std::uint64_t>("a", 1)));
    EXPECT_TRUE(gate.take_suppressed().empty());
}

TEST(flood_gate, holds_no_event_back_for_another) {
    common::manual_clock clock;
    flood_gate gate(clock, 1);
    EXPECT_TRUE(gate.pass("a").is_written);
    EXPECT_FALSE(gate.pass("a").is_written);
    EXPECT_TRUE(gate.pass("b").is_written);
}

} // namespace
} // namespace savorytrail::telemetry
