// Estimates how long the caller of a job has waited already. Callers state their patience: how much
// longer they will wait. A caller that resubmits a job after a missing answer states a patience
// that is shorter by the time that has passed. The difference to the lowest patience that is usual
// on a queue is therefore a lower bound of a job's age, by which jobs that are late already need
// not be put before jobs that can still be on time. Not thread-safe.
#pragma once

#include <map>
#include <string>

#include "core/common/clock.h"

namespace savorytrail::gateway {

// The lowest patience that is usual for first submissions, by queue.
using patience_floors = std::map<std::string, common::milliseconds>;

class patience_estimator {
public:
    // A lower bound; 0 when the patience is usual or the queue has too few samples.
    common::milliseconds estimate_wait(const std::string& queue,
                                       common::milliseconds patience) const;
    void add_sample(const std::string& queue, common::milliseconds patience);

    // Takes over floors learnt before a restart or by other entries, for queues that have too few
    // samples yet.
    void restore(const patience_floors& floors);
    patience_floors floors() const;
    // Whether the floors differ enough from those published last to be published again.
    bool differs_from(const patience_floors& published) const;

private:
    struct estimate {
        double floor_ms = 0;
        int samples = 0;
        double unusual_fraction = 0; // moving average over the samples

        bool is_known() const { return samples >= min_samples; }
    };

    static constexpr int min_samples = 30;
    // The initial floor, as a fraction of the median of the first samples. Rather too low than too
    // high, so that no first submission is taken for a resubmission.
    static constexpr double initial_floor_factor = 0.75;
    // The floor is this quantile of the patience of first submissions.
    static constexpr double floor_quantile = 0.05;
    // Fraction of the floor by which a sample moves it, times `floor_quantile` upwards and
    // 1 - `floor_quantile` downwards.
    static constexpr double step_size = 0.03;
    // A patience below this fraction of the floor is unusual.
    static constexpr double usual_fraction = 0.7;
    // Weight of an unusual sample, and of any sample below the floor while the fraction of unusual
    // ones is at least `max_unusual_fraction`, as after an outage.
    static constexpr double unusual_weight = 0.05;
    static constexpr double max_unusual_fraction = 0.1;
    static constexpr double unusual_window = 20; // samples in the moving average of unusual ones
    static constexpr double publish_threshold = 0.05;

    std::map<std::string, estimate> m_queues;
};

} // namespace savorytrail::gateway
