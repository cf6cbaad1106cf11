// Estimates how much work the executors really get done: tasks do not fill every core, and run for
// longer than estimated. Both factors are moving averages of observed values.
#pragma once

#include <algorithm>
#include <cmath>

namespace savorytrail::cell {

class capacity_meter {
public:
    // Records the utilization of the executors, from 0 to 1, at a moment when tasks are waiting.
    void add_utilization(double utilization) {
        if (!std::isnan(utilization)) {
            blend(m_utilization, std::clamp(utilization, min_utilization, 1.0), utilization_weight);
        }
    }
    // Moves the utilization back towards what is assumed at first: what was measured in the last
    // time of waiting says little about the next one. Call about every 50 ms while no task waits.
    void note_calm() { blend(m_utilization, initial_utilization, calm_weight); }
    // Records the ratio of a successful run's duration to its estimate.
    void add_run(double ratio) {
        if (!std::isnan(ratio)) {
            blend(m_duration_ratio, std::clamp(ratio, min_ratio, max_ratio), run_weight);
        }
    }

    // Converts nominal capacity into capacity for work as estimated.
    double effective(double capacity) const { return capacity * m_utilization / m_duration_ratio; }

private:
    static constexpr double utilization_weight = 0.02;
    // A time constant of 10 s at 20 calls a second: longer than the pauses within a burst.
    static constexpr double calm_weight = 0.005;
    static constexpr double initial_utilization = 0.8;
    // A capacity of 0 would stand for a cell without executors.
    static constexpr double min_utilization = 0.05;
    static constexpr double run_weight = 0.01;
    static constexpr double min_ratio = 0.25; // the inverse of the greatest
    static constexpr double max_ratio = 4;    // greater ones are due to slow executors

    static void blend(double& average, double value, double weight) {
        average += weight * (value - average);
    }

    double m_utilization = initial_utilization;
    double m_duration_ratio = 1.1;
};

} // namespace savorytrail::cell
