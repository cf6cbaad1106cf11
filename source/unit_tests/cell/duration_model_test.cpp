// What tasks are believed to take after callers' estimates were compared with what was seen.
#include "core/cell/duration_model.h"

#include <cmath>
#include <gtest/gtest.h>
#include <random>

#include "unit_tests/cell/jobs.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

// Durations are lognormal about `usual_ms`, and estimates about the durations.
struct pattern {
    const char* name;
    double usual_ms;
    double variety;        // of durations, as a factor
    double bias;           // of estimates, as a factor
    double error;          // of estimates, as a factor either way
    double most_times_off; // how far beliefs may be off in the middle, as a factor
};

class beliefs : public testing::TestWithParam<pattern> {
protected:
    double draw(double middle, double factor) {
        std::normal_distribution<double> normal(0, 1);
        return middle * std::exp(std::log(factor) * normal(m_random));
    }

    std::mt19937_64 m_random{3};
};

TEST_P(beliefs, are_about_as_good_as_what_was_seen_allows) {
    const auto& it = GetParam();
    duration_model model;
    std::vector<double> off;
    for (int i = 0; i < 2000; i++) {
        const auto took = milliseconds(std::llround(std::max(1.0, draw(it.usual_ms, it.variety))));
        const auto told = milliseconds(std::llround(
            std::max(1.0, draw(static_cast<double>(took.count()) * it.bias, it.error))));
        const auto believed = static_cast<double>(model.predicted_duration("q", told).count());
        if (i >= 500) {
            off.push_back(std::abs(std::log(believed / static_cast<double>(took.count()))));
        }
        model.add("q", told, took);
    }
    std::nth_element(off.begin(), off.begin() + off.size() / 2, off.end());
    EXPECT_LE(std::exp(off[off.size() / 2]), it.most_times_off);
}

INSTANTIATE_TEST_SUITE_P(
    all, beliefs,
    testing::Values(pattern{"exact_estimates_stay", 200, 3, 1, 1.01, 1.1},
                    pattern{"a_bias_is_corrected", 200, 3, 5, 1.01, 1.2},
                    pattern{"useless_estimates_give_way_to_the_usual", 200, 1.2, 1, 5, 1.2},
                    pattern{"rough_estimates_of_alike_tasks", 200, 1.4, 1, 1.5, 1.3},
                    pattern{"rough_estimates_of_unlike_tasks", 200, 5, 1, 1.5, 1.4}),
    [](const auto& it) { return it.param.name; });

TEST(duration_model, believes_the_caller_at_first) {
    const duration_model model;
    EXPECT_EQ(model.predicted_duration("q", milliseconds(70)), milliseconds(70));
    EXPECT_EQ(model.with_predicted_durations(make_job("j", 1, milliseconds(70))).steps[0].estimate,
              milliseconds(70));
}

TEST(duration_model, learns_each_queue_by_itself) {
    duration_model model;
    for (int i = 0; i < 200; i++) {
        model.add("a", milliseconds(100), milliseconds(200));
    }
    EXPECT_GT(model.predicted_duration("a", milliseconds(100)), milliseconds(180));
    EXPECT_EQ(model.predicted_duration("b", milliseconds(100)), milliseconds(100));
}

TEST(duration_model, is_not_swayed_by_a_few_slow_executors) {
    duration_model model;
    for (int i = 0; i < 300; i++) {
        model.add("q", milliseconds(100), milliseconds(i % 10 == 0 ? 2000 : 100));
    }
    EXPECT_LT(model.predicted_duration("q", milliseconds(100)), milliseconds(130));
}

TEST(duration_model, leaves_tasks_without_an_estimate_alone) {
    duration_model model;
    model.add("q", milliseconds(0), milliseconds(100));
    EXPECT_EQ(model.predicted_duration("q", milliseconds(0)), milliseconds(0));
}

} // namespace
} // namespace savorytrail::cell
