// Admission control under overload, by max-min fairness: each queue may use an equal share of the
// capacity, and what a queue leaves unused is shared among those that offer more. So a queue with a
// surge is limited first, and the others are not affected. Without overload everything is admitted.
// Work is measured as CPU time, in thousandths of a core x milliseconds.
#pragma once

#include <map>
#include <string>

#include "core/common/clock.h"

namespace savorytrail::cell {

struct fair_limits {
    explicit fair_limits(bool its_is_on = true) : is_on(its_is_on) {}

    bool is_on = true; // if not, every queue has a share left
    // Time constant of the average of offered work.
    common::milliseconds window{1000};
    // The fraction of the capacity that is shared out; below 1, so that admitted work does not
    // queue for long.
    double target_utilization = 0.9;
    // Size of a queue's token bucket, as time of the whole capacity.
    common::milliseconds burst{120};
    // While waiting work needs no longer than this, everything is admitted, whatever is offered.
    common::milliseconds tolerated_wait{60};

    bool operator==(const fair_limits&) const = default;
};

class fair_admission {
public:
    explicit fair_admission(fair_limits limits) : m_limits(limits) {}

    // Decides on a job, records it as offered and charges its queue if it is admitted. `capacity`:
    // effective capacity in thousandths of a core. `wait`: the time that the executors need for the
    // waiting work.
    bool admit(const std::string& queue, double cpu_demand, double capacity,
               common::milliseconds wait, common::time_point now);

    // Records work as offered; returns whether the queue has a share left for a job, or needs none
    // because there is no overload. `cpu_demand` is 0 for a job that another cell has recorded.
    bool offer(const std::string& queue, double cpu_demand, double capacity,
               common::milliseconds wait, common::time_point now);
    // Charges a queue for an admitted job.
    void charge(const std::string& queue, double cpu_demand, double capacity);

    // Whether recently offered work exceeds the target utilization of the capacity.
    bool is_overloaded(double capacity, common::time_point now) const;

private:
    struct account {
        double offered = 0; // decays exponentially over the window
        double tokens = 0;  // work that may be admitted now; negative when overdrawn
        common::time_point at;
    };

    double max_tokens(double capacity) const;
    double offered(const account& it, common::time_point now) const;
    // The rate that each queue may use.
    double fair_rate(double capacity, common::time_point now) const;

    const fair_limits m_limits;
    std::map<std::string, account> m_accounts; // by queue
};

} // namespace savorytrail::cell
