// Estimates how much work the executors really get done: tasks do not fill every core, and run for
// longer than estimated. Both factors are moving averages of observed values.
#pragma once

#include <algorithm>

namespace savorytrail::cell {

class capacity_meter {
public:
    // Records the utilization of the executors, from 0 to 1, at a moment when tasks are waiting.
    void add_utilization(double utilization) {
        blend(m_utilization, utilization, utilization_weight);
    }
    // Records the ratio of a successful run's duration to its estimate.
    void add_run(double ratio) { blend(m_duration_ratio, std::min(ratio, max_ratio), run_weight); }

    // Converts nominal capacity into capacity for work as estimated.
    double effective(double capacity) const { return capacity * m_utilization / m_duration_ratio; }

private:
    static constexpr double utilization_weight = 0.02;
    static constexpr double run_weight = 0.01;
    static constexpr double max_ratio = 4; // greater ones are due to slow executors

    static void blend(double& average, double value, double weight) {
        average += weight * (value - average);
    }

    double m_utilization = 0.8;
    double m_duration_ratio = 1.1;
};

} // namespace savorytrail::cell
