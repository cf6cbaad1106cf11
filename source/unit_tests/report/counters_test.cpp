// Tests of the counters and objectives read from scrapes.
#include "core/report/counters.h"

#include <gtest/gtest.h>

#include "core/telemetry/entry_metrics.h"

namespace savorytrail::report {
namespace {

telemetry::scrape scrape_of(const telemetry::entry_metrics& metrics) {
    telemetry::exposition out;
    metrics.write(out);
    return telemetry::parse_scrape(out.text()).value();
}

struct answer_case {
    const char* state;
    const char* reason;
    counters expected;
};

class answer_kind : public testing::TestWithParam<answer_case> {};

TEST_P(answer_kind, counts_for_or_against_availability) {
    telemetry::entry_metrics metrics;
    metrics.count_answer(GetParam().state, GetParam().reason);
    EXPECT_EQ(read_counters(scrape_of(metrics), 1.5), GetParam().expected);
}

counters lost(const char* reason, double unknown) {
    counters it;
    it.lost = 1;
    it.unknown = unknown;
    it.lost_by_reason[reason] = 1;
    return it;
}

INSTANTIATE_TEST_SUITE_P(
    table, answer_kind,
    testing::Values(answer_case{"complete", "none", {0, 0, 1, 0, 0, 0, {}}},
                    answer_case{"refused", "cancelled", {0, 0, 0, 0, 1, 0, {}}},
                    answer_case{"refused", "quota_exceeded", {0, 0, 0, 0, 1, 0, {}}},
                    answer_case{"refused", "queue_full", lost("queue_full", 0)},
                    answer_case{"failed", "task_failed", lost("task_failed", 0)},
                    answer_case{"failed", "task_unknown", lost("task_unknown", 1)},
                    answer_case{"failed", "home_dead", lost("home_dead", 1)},
                    answer_case{"unavailable", "memory_full", lost("memory_full", 0)}));

struct bound_case {
    double bound;
    double fast;
};

class response_bound : public testing::TestWithParam<bound_case> {};

TEST_P(response_bound, counts_buckets_that_end_at_it_or_below) {
    telemetry::entry_metrics metrics;
    for (const int response : {100, 145, 190, 100000})
        metrics.observe_response(common::milliseconds(response), common::milliseconds(100));
    const auto result = read_counters(scrape_of(metrics), GetParam().bound);
    EXPECT_EQ(result.responses, 4);
    EXPECT_EQ(result.fast_responses, GetParam().fast);
}

INSTANTIATE_TEST_SUITE_P(table, response_bound,
                         testing::Values(bound_case{1, 0}, bound_case{1.05, 1}, bound_case{1.5, 2},
                                         bound_case{1.99, 2}, bound_case{2, 3},
                                         bound_case{1000, 3}));

counters complete(double n) {
    counters it;
    it.complete = n;
    return it;
}

TEST(increases, include_all_scraped_values_across_restarts_and_gaps) {
    const std::vector<point> points = {{0, {{"a", complete(100)}, {"b", complete(10)}}},
                                       {1, {{"a", complete(110)}}},
                                       {2, {{"a", complete(5)}, {"b", complete(17)}}},
                                       {3, {{"a", complete(6)}, {"c", complete(2)}}}};
    const auto result = increases(points);
    ASSERT_EQ(result.size(), 3U);
    EXPECT_EQ(result[0].complete, 10);
    EXPECT_EQ(result[1].complete, 5 + 7);
    EXPECT_EQ(result[2].complete, 1 + 2);
}

TEST(objectives, are_read_from_a_scrape) {
    manifest::objectives result;
    EXPECT_FALSE(read_objectives({}, result));
    const auto scrape =
        telemetry::parse_scrape("savory_objective_ratio{objective=\"response_over_ideal\"} 1.5\n"
                                "savory_objective_ratio{objective=\"response_share\"} 0.9\n"
                                "savory_objective_ratio{objective=\"availability\"} 0.99\n");
    EXPECT_TRUE(read_objectives(*scrape, result));
    EXPECT_EQ(result, (manifest::objectives{1.5, 0.9, 0.99}));
}

} // namespace
} // namespace savorytrail::report
