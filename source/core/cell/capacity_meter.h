// What the executors can really keep busy: tasks do not fill them to the last core, and take longer
// than estimated. Both are learnt from what is seen.
#pragma once

#include <algorithm>

namespace savorytrail::cell {

class capacity_meter {
public:
    // How full the executors are at a moment when tasks wait for room.
    void add_utilization(double utilization) {
        blend(m_utilization, utilization, utilization_weight);
    }
    // How long a run that ended well took, against its estimate.
    void add_run(double ratio) { blend(m_duration_ratio, std::min(ratio, max_ratio), run_weight); }

    // Estimated work that a capacity does in a time.
    double effective(double capacity) const { return capacity * m_utilization / m_duration_ratio; }

private:
    static constexpr double utilization_weight = 0.02;
    static constexpr double run_weight = 0.01;
    static constexpr double max_ratio = 4; // slow executors say nothing of estimates

    static void blend(double& average, double value, double weight) {
        average += weight * (value - average);
    }

    double m_utilization = 0.8;
    double m_duration_ratio = 1.1;
};

} // namespace savorytrail::cell
