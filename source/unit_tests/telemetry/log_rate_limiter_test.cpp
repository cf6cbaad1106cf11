// Tests of the log rate limiter.
#include "core/telemetry/log_rate_limiter.h"

#include <gtest/gtest.h>

namespace savorytrail::telemetry {
namespace {

TEST(log_rate_limiter, reports_suppressed_lines_with_the_next_line) {
    common::manual_clock clock;
    log_rate_limiter limiter(clock, 2);
    EXPECT_EQ(limiter.admit("a"), (rate_limit_decision{true, 0}));
    EXPECT_EQ(limiter.admit("a"), (rate_limit_decision{true, 0}));
    for (int i = 0; i < 3; i++)
        EXPECT_EQ(limiter.admit("a"), (rate_limit_decision{false, 0}));
    clock.advance(common::milliseconds(1000));
    EXPECT_EQ(limiter.admit("a"), (rate_limit_decision{true, 3}));
    EXPECT_EQ(limiter.admit("a"), (rate_limit_decision{true, 0}));
}

TEST(log_rate_limiter, reports_suppressed_lines_of_an_idle_event_once) {
    common::manual_clock clock;
    log_rate_limiter limiter(clock, 1);
    limiter.admit("a");
    limiter.admit("a");
    EXPECT_TRUE(limiter.take_suppressed().empty());
    clock.advance(common::milliseconds(1000));
    const auto suppressed = limiter.take_suppressed();
    ASSERT_EQ(suppressed.size(), 1U);
    EXPECT_EQ(suppressed[0], (std::pair<std::string, std::uint64_t>("a", 1)));
    EXPECT_TRUE(limiter.take_suppressed().empty());
}

TEST(log_rate_limiter, limits_each_event_separately) {
    common::manual_clock clock;
    log_rate_limiter limiter(clock, 1);
    EXPECT_TRUE(limiter.admit("a").is_written);
    EXPECT_FALSE(limiter.admit("a").is_written);
    EXPECT_TRUE(limiter.admit("b").is_written);
}

} // namespace
} // namespace savorytrail::telemetry
