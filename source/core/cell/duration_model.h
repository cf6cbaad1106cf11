// Predicts task durations. Callers' estimates are rough and sometimes off by far, so a linear
// regression per queue, in log space, corrects them by observed durations: the worse a queue's
// estimates correlate with its durations, the closer predictions are to the queue's mean.
#pragma once

#include <string>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"
#include "core/work/job.h"

namespace savorytrail::cell {

class duration_model {
public:
    // The predicted duration of a task of this queue with the given estimate.
    common::milliseconds predicted_duration(const std::string& queue,
                                            common::milliseconds estimate) const;
    // The longest duration that is likely with the given estimate. Where estimates are rough, the
    // prediction of the rare task that takes many times as long as usual is too short by far; this
    // one is not shrunk towards the queue's mean.
    common::milliseconds cautious_duration(const std::string& queue,
                                           common::milliseconds estimate) const;
    // Returns the job with the estimates of its steps replaced by predicted durations.
    work::job with_predicted_durations(work::job job) const;

    // Adds the observed duration of a successful task, as it would be on an executor of speed 1.
    void add(const std::string& queue, common::milliseconds estimate, common::milliseconds took);

    // Exponentially weighted regression of log durations (y) on log estimates (x).
    struct fit {
        double weight = 0; // of the observations, at most `max_weight`
        double mean_x = 0;
        double mean_y = 0;
        double variance_x = 0;
        double covariance = 0;

        double predict(double x) const;
        // With the estimate taken at its word, but for the mean error of the queue's estimates.
        double predict_unshrunk(double x) const;
        // The part of a prediction that depends on how far the estimate is from the usual one.
        double predict_around_mean(double x) const;
        void add(double x, double y);
    };

private:
    // Weight of the prior that estimates are exact, as a number of observations.
    static constexpr double prior_weight = 20;
    static constexpr double max_weight = 300; // older observations decay beyond this number
    // Limits the influence of runs on slow or faulty executors: observations are clamped to this
    // distance from the prediction, in log space.
    static constexpr double max_log_deviation = 1.1;

    absl::flat_hash_map<std::string, fit> m_queues;
};

} // namespace savorytrail::cell
