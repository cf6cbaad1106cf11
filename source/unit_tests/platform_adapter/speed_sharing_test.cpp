// Tests of what entries tell each other of the speeds of executors: bytes between failure domains
// are scarce, and a wrong value must be noticed.
#include "platform/speed_sharing.h"

#include <cmath>
#include <gtest/gtest.h>

namespace savorytrail::platform_adapter {
namespace {

using fleet::kind_speed;

struct news_case {
    const char* name;
    std::vector<kind_speed> own;
    std::vector<kind_speed> told;
    bool is_news;
};

class news_of_speeds : public testing::TestWithParam<news_case> {};

TEST_P(news_of_speeds, are_only_changes_that_matter) {
    EXPECT_EQ(speed_sharing::is_news(GetParam().own, GetParam().told), GetParam().is_news);
}

INSTANTIATE_TEST_SUITE_P(
    platform, news_of_speeds,
    testing::Values(news_case{"none", {}, {}, false}, news_case{"first", {{1, 0.5, 20}}, {}, true},
                    news_case{"no_longer_different", {}, {{1, 0.5, 20}}, true},
                    news_case{"more_runs", {{1, 0.5, 200}}, {{1, 0.5, 20}}, false},
                    news_case{"a_little", {{1, 0.52, 20}}, {{1, 0.5, 20}}, false},
                    news_case{"more", {{1, 0.56, 20}}, {{1, 0.5, 20}}, true},
                    news_case{"another_kind", {{2, 0.5, 20}}, {{1, 0.5, 20}}, true}),
    [](const auto& it) { return it.param.name; });

TEST(speed_sharing, counts_bad_values_and_tells_nothing_while_speeds_are_even) {
    cell::executor_speeds speeds;
    telemetry::job_metrics metrics;
    speed_sharing sharing(speeds, metrics);
    const common::time_point now{std::chrono::hours(1)};
    const std::vector<kind_speed> told = {
        {1, std::nan(""), 5}, {2, 9, 5}, {3, 0.3, 0}, {4, 0.3, 5}};
    sharing.receive(told, "front-b-1", now);
    sharing.report(now);
    EXPECT_TRUE(sharing.own().empty());
    telemetry::exposition out;
    metrics.write(out);
    sharing.write(out);
    EXPECT_NE(out.text().find("event=\"kind_speed_rejected\"} 3"), std::string::npos);
    EXPECT_EQ(out.text().find("executor_speeds_changed"), std::string::npos);
    EXPECT_NE(out.text().find("savory_cell_speed_spread 1\n"), std::string::npos);
    EXPECT_EQ(speed_sharing::well_formed(told).size(), 3U);
}

} // namespace
} // namespace savorytrail::platform_adapter
