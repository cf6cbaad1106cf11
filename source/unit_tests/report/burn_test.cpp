// Tests of burn rates computed from known counters.
#include "core/report/burn.h"

#include <gtest/gtest.h>

#include "core/report/render.h"

namespace savorytrail::report {
namespace {

const manifest::objectives s_objectives{1.5, 0.9, 0.99};
constexpr double minute = 60; // seconds

counters make_counters(double complete, double lost, double responses, double fast) {
    counters it;
    it.complete = complete;
    it.lost = lost;
    it.responses = responses;
    it.fast_responses = fast;
    if (lost > 0)
        it.lost_by_reason["queue_full"] = lost;
    return it;
}

struct burn_case {
    const char* name;
    counters after; // at the second of two scrapes; the first is all zero
    double response_rate;
    double availability_rate;
    bool is_burning;
};

class burn : public testing::TestWithParam<burn_case> {};

TEST_P(burn, equals_bad_share_over_allowed_share) {
    const std::vector<point> points = {{0, {{"a", {}}}}, {minute, {{"a", GetParam().after}}}};
    const auto report = compute_burn(points, s_objectives, default_windows());
    ASSERT_EQ(report.burns.size(), 2U);
    for (const auto& it : report.burns[0].pairs)
        EXPECT_NEAR(it.over_long.rate, GetParam().response_rate, 1e-9);
    for (const auto& it : report.burns[1].pairs)
        EXPECT_NEAR(it.over_short.rate, GetParam().availability_rate, 1e-9);
    EXPECT_EQ(report.is_burning(), GetParam().is_burning);
}

INSTANTIATE_TEST_SUITE_P(
    table, burn,
    testing::Values(burn_case{"no answers", {}, 0, 0, false},
                    burn_case{"all good", make_counters(100, 0, 100, 100), 0, 0, false},
                    burn_case{"exactly as allowed", make_counters(99, 1, 100, 90), 1, 1, false},
                    burn_case{"slow answers", make_counters(100, 0, 100, 80), 2, 0, true},
                    burn_case{"lost answers", make_counters(95, 5, 95, 95), 0, 5, true},
                    burn_case{"nothing complete", make_counters(0, 10, 0, 0), 0, 100, true}),
    [](const auto& it) {
        std::string name = it.param.name;
        std::replace(name.begin(), name.end(), ' ', '_');
        return name;
    });

// One point a minute for two hours; answers are lost from minute `begin` up to `end`.
std::vector<point> make_points_with_losses(int begin, int end) {
    std::vector<point> points;
    counters sum;
    for (int i = 0; i <= 120; i++) {
        points.push_back({i * minute, {{"a", sum}}});
        const bool is_losing = i >= begin && i < end;
        sum += make_counters(is_losing ? 0 : 100, is_losing ? 100 : 0, 0, 0);
    }
    return points;
}

struct window_case {
    int begin;
    int end;
    bool is_burning; // of the pair of one hour and five minutes
};

class window_pairs : public testing::TestWithParam<window_case> {};

TEST_P(window_pairs, burn_only_while_both_windows_do) {
    const auto report = compute_burn(make_points_with_losses(GetParam().begin, GetParam().end),
                                     s_objectives, default_windows());
    const auto& pair = report.burns[1].pairs[0];
    EXPECT_EQ(pair.over_long.seconds, 60 * minute);
    EXPECT_EQ(pair.over_short.seconds, 5 * minute);
    EXPECT_EQ(pair.is_burning, GetParam().is_burning);
}

INSTANTIATE_TEST_SUITE_P(table, window_pairs,
                         testing::Values(window_case{100, 120, true},  // still going on
                                         window_case{90, 110, false},  // already over
                                         window_case{117, 120, false}, // too short to matter
                                         window_case{0, 0, false}));

TEST(render, names_the_burning_objective_and_the_next_step_in_every_form) {
    const std::vector<point> points = {{0, {{"a", {}}}}, {1, {{"a", make_counters(0, 10, 0, 0)}}}};
    const auto report = compute_burn(points, s_objectives, default_windows());
    for (const auto& text : {render_text(report), render_json(report), render_html(report)}) {
        EXPECT_NE(text.find("availability"), std::string::npos);
        EXPECT_NE(text.find("max_queued_tasks"), std::string::npos);
    }
    const auto page = render_html(report);
    EXPECT_NE(page.find("<svg"), std::string::npos);
    EXPECT_EQ(page.find("http"), std::string::npos) << "the page must be self-contained";
}

} // namespace
} // namespace savorytrail::report
