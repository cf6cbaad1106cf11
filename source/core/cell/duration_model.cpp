#include "core/cell/duration_model.h"

#include <algorithm>
#include <cmath>

namespace savorytrail::cell {
namespace {

double log_ms(common::milliseconds it) {
    return std::log(static_cast<double>(std::max<std::int64_t>(it.count(), 1)));
}

} // namespace

double duration_model::fit::predict(double x) const {
    const double slope = variance_x > 0 ? std::clamp(covariance / variance_x, 0.0, 1.0) : 1.0;
    const double fitted = mean_y + slope * (x - mean_x);
    return (weight * fitted + prior_weight * x) / (weight + prior_weight);
}

double duration_model::fit::predict_unshrunk(double x) const {
    return (weight * (x + mean_y - mean_x) + prior_weight * x) / (weight + prior_weight);
}

double duration_model::fit::predict_around_mean(double x) const {
    const double slope = variance_x > 0 ? std::clamp(covariance / variance_x, 0.0, 1.0) : 1.0;
    const double shrunk = (weight * slope + prior_weight) / (weight + prior_weight);
    return weight > 0 ? mean_x + shrunk * (x - mean_x) : x;
}

void duration_model::fit::add(double x, double y) {
    const double expected = predict(x);
    y = std::clamp(y, expected - max_log_deviation, expected + max_log_deviation);
    weight = std::min(weight + 1, max_weight);
    const double step = 1 / weight;
    const double dx = x - mean_x;
    const double dy = y - mean_y;
    mean_x += step * dx;
    mean_y += step * dy;
    variance_x += step * (dx * (x - mean_x) - variance_x);
    covariance += step * (dx * (y - mean_y) - covariance);
}

common::milliseconds duration_model::predicted_duration(const std::string& queue,
                                                        common::milliseconds estimate) const {
    const auto it = m_queues.find(queue);
    if (it == m_queues.end() || estimate.count() <= 0) {
        return estimate;
    }
    const double ms = std::exp(it->second.predict(log_ms(estimate)));
    return common::milliseconds(std::max<std::int64_t>(std::llround(ms), 1));
}

common::milliseconds duration_model::cautious_duration(const std::string& queue,
                                                       common::milliseconds estimate) const {
    const auto predicted = predicted_duration(queue, estimate);
    const auto it = m_queues.find(queue);
    if (it == m_queues.end() || estimate.count() <= 0) {
        return predicted;
    }
    const double ms = std::exp(it->second.predict_unshrunk(log_ms(estimate)));
    return std::max(predicted, common::milliseconds(std::llround(ms)));
}

work::job duration_model::with_predicted_durations(work::job job) const {
    for (auto& step : job.steps) {
        step.estimate = predicted_duration(job.queue.name, step.estimate);
    }
    return job;
}

void duration_model::add(const std::string& queue, common::milliseconds estimate,
                         common::milliseconds took) {
    if (estimate.count() <= 0) {
        return;
    }
    m_queues[queue].add(log_ms(estimate), log_ms(took));
}

} // namespace savorytrail::cell
