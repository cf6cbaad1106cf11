// How long tasks will take. What a caller estimates is rough, and some callers are off by far; so
// each queue's estimates are weighed by how well they have told the durations seen: where they tell
// little, what its tasks usually take counts instead.
#pragma once

#include <string>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"
#include "core/work/job.h"

namespace savorytrail::cell {

class duration_model {
public:
    // What a task of that estimate is believed to take.
    common::milliseconds predicted_duration(const std::string& queue,
                                            common::milliseconds estimate) const;
    // The job with the estimates of its steps replaced by what they are believed to take.
    work::job with_predicted_durations(work::job job) const;

    // A task of that estimate ended well after that long.
    void add(const std::string& queue, common::milliseconds estimate, common::milliseconds took);

private:
    // A line fitted through the logarithms of estimates (x) and durations (y) of late.
    struct fit {
        double weight = 0; // of the observations, at most `max_weight`
        double mean_x = 0;
        double mean_y = 0;
        double variance_x = 0;
        double covariance = 0;

        double predict(double x) const;
    };

    // As many observations as the belief in the estimates themselves is worth.
    static constexpr double prior_weight = 20;
    static constexpr double max_weight = 300; // observations
    // A task on a slow or troubled executor says no more than this factor, as a logarithm.
    static constexpr double max_log_deviation = 1.1;

    absl::flat_hash_map<std::string, fit> m_queues;
};

} // namespace savorytrail::cell
