// Who is refused while more work comes than the executors can do. Each queue may use an equal part
// of the capacity; what a queue leaves unused is shared among those that want more (max-min
// fairness). So a queue that surges is cut back first, and the others are served as before. Outside
// overload everything is admitted. Work is measured in processor time: thousandths of a core x
// milliseconds.
#pragma once

#include <map>
#include <string>

#include "core/common/clock.h"

namespace savorytrail::cell {

struct fair_limits {
    // The time over which offered work is averaged.
    common::milliseconds window{1000};
    // The part of the capacity that is given out, so that what is admitted does not queue for long.
    double target_utilization = 0.9;
    // What a queue may use ahead of its rate, as time of the whole capacity.
    common::milliseconds burst{120};
    // Below this wait for executors there is no overload, whatever was offered.
    common::milliseconds tolerated_wait{60};

    bool operator==(const fair_limits&) const = default;
};

class fair_admission {
public:
    explicit fair_admission(fair_limits limits) : m_limits(limits) {}

    // `capacity`: thousandths of a core that the executors can keep busy. `wait`: how long the work
    // that waits now would keep them so.
    bool admit(const std::string& queue, double cpu_demand, double capacity,
               common::milliseconds wait, common::time_point now);

    // Whether more was offered of late than the capacity.
    bool is_overloaded(double capacity, common::time_point now) const;

private:
    struct account {
        double offered = 0; // decays over the window
        double tokens = 0;  // work that may be admitted now
        common::time_point at;
    };

    double offered(const account& it, common::time_point now) const;
    // The rate that any queue may use.
    double fair_rate(double capacity, common::time_point now) const;

    const fair_limits m_limits;
    std::map<std::string, account> m_accounts; // by queue
};

} // namespace savorytrail::cell
