// How long a job's caller has waited already. Callers say how long they will still wait; one that
// sends a job again, after an answer that did not come, says less by the time that has passed. So
// what is least usual on a queue tells how old a job is at least, and those that are late already
// need not stand before those that are not. Used on one thread.
#pragma once

#include <map>
#include <string>

#include "core/common/clock.h"

namespace savorytrail::gateway {

// The least patience that first sendings usually tell, by queue.
using patience_floors = std::map<std::string, common::milliseconds>;

class patience_estimator {
public:
    // A lower bound; 0 while the patience is usual, or nothing is known of the queue.
    common::milliseconds estimate_wait(const std::string& queue,
                                       common::milliseconds patience) const;
    void add_sample(const std::string& queue, common::milliseconds patience);

    // What was learnt in an earlier life, or by other entries; counts where nothing is known yet.
    void restore(const patience_floors& floors);
    patience_floors floors() const;
    // Whether the floors differ from those given by enough to be published.
    bool differs_from(const patience_floors& published) const;

private:
    struct estimate {
        double floor_ms = 0;
        int samples = 0;
        double unusual_fraction = 0; // part of the latest samples

        bool is_known() const { return samples >= min_samples; }
    };

    static constexpr int min_samples = 30;
    // Of the middle of the first samples: where the floor is looked for from then on. Rather too
    // low, so that no first sending is taken for an old one.
    static constexpr double initial_floor_factor = 0.75;
    // The floor is the patience below which this part of first sendings lies.
    static constexpr double floor_quantile = 0.05;
    // Part of the floor that a sample moves it by, over `floor_quantile`.
    static constexpr double step_size = 0.03;
    // Less than this part of the floor is not usual.
    static constexpr double usual_fraction = 0.7;
    // How much such a sample counts, and any low one while there are many: after an outage.
    static constexpr double unusual_weight = 0.05;
    static constexpr double max_unusual_fraction = 0.1;
    static constexpr double unusual_window = 20; // samples over which their part is taken
    static constexpr double publish_threshold = 0.05;

    std::map<std::string, estimate> m_queues;
};

} // namespace savorytrail::gateway
