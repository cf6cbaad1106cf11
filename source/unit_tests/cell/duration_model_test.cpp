// Tests of predicted task durations after observations of many tasks.
#include "core/cell/duration_model.h"

#include <cmath>
#include <gtest/gtest.h>
#include <random>

#include "unit_tests/cell/jobs.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

// Durations are lognormal around `median_ms`, and estimates are lognormal around the durations.
struct estimate_pattern {
    const char* name;
    double median_ms;
    double duration_factor;  // spread of durations
    double bias;             // median ratio of estimates to durations
    double error_factor;     // spread of estimates around the biased duration
    double max_median_error; // largest allowed median error of predictions, as a factor
};

class predicted_durations : public testing::TestWithParam<estimate_pattern> {
protected:
    double draw(double median, double factor) {
        std::normal_distribution<double> normal(0, 1);
        return median * std::exp(std::log(factor) * normal(m_random));
    }

    std::mt19937_64 m_random{3};
};

TEST_P(predicted_durations, have_a_bounded_median_error) {
    const auto& it = GetParam();
    duration_model model;
    std::vector<double> log_errors;
    for (int i = 0; i < 2000; i++) {
        const auto took =
            milliseconds(std::llround(std::max(1.0, draw(it.median_ms, it.duration_factor))));
        const auto estimate = milliseconds(std::llround(
            std::max(1.0, draw(static_cast<double>(took.count()) * it.bias, it.error_factor))));
        const auto predicted = static_cast<double>(model.predicted_duration("q", estimate).count());
        if (i >= 500) {
            log_errors.push_back(std::abs(std::log(predicted / static_cast<double>(took.count()))));
        }
        model.add("q", estimate, took);
    }
    std::nth_element(log_errors.begin(), log_errors.begin() + log_errors.size() / 2,
                     log_errors.end());
    EXPECT_LE(std::exp(log_errors[log_errors.size() / 2]), it.max_median_error);
}

INSTANTIATE_TEST_SUITE_P(
    all, predicted_durations,
    testing::Values(estimate_pattern{"exact_estimates_stay", 200, 3, 1, 1.01, 1.1},
                    estimate_pattern{"a_bias_is_corrected", 200, 3, 5, 1.01, 1.2},
                    estimate_pattern{"useless_estimates_give_way_to_the_usual", 200, 1.2, 1, 5,
                                     1.2},
                    estimate_pattern{"rough_estimates_of_alike_tasks", 200, 1.4, 1, 1.5, 1.3},
                    estimate_pattern{"rough_estimates_of_unlike_tasks", 200, 5, 1, 1.5, 1.4}),
    [](const auto& it) { return it.param.name; });

TEST(duration_model, uses_the_callers_estimate_at_first) {
    const duration_model model;
    EXPECT_EQ(model.predicted_duration("q", milliseconds(70)), milliseconds(70));
    EXPECT_EQ(model.with_predicted_durations(make_job("j", 1, milliseconds(70))).steps[0].estimate,
              milliseconds(70));
}

TEST(duration_model, learns_each_queue_separately) {
    duration_model model;
    for (int i = 0; i < 200; i++) {
        model.add("a", milliseconds(100), milliseconds(200));
    }
    EXPECT_GT(model.predicted_duration("a", milliseconds(100)), milliseconds(180));
    EXPECT_EQ(model.predicted_duration("b", milliseconds(100)), milliseconds(100));
}

TEST(duration_model, is_robust_to_a_few_slow_executors) {
    duration_model model;
    for (int i = 0; i < 300; i++) {
        model.add("q", milliseconds(100), milliseconds(i % 10 == 0 ? 2000 : 100));
    }
    EXPECT_LT(model.predicted_duration("q", milliseconds(100)), milliseconds(130));
}

TEST(duration_model, ignores_tasks_without_an_estimate) {
    duration_model model;
    model.add("q", milliseconds(0), milliseconds(100));
    EXPECT_EQ(model.predicted_duration("q", milliseconds(0)), milliseconds(0));
}

} // namespace
} // namespace savorytrail::cell
