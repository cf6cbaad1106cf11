// Decides whether a cell takes a job: not if no executor takes work, if the job could not end in
// time behind the jobs that go first, or if its queue has had its share under overload.
#pragma once

#include "core/cell/fair_admission.h"
#include "core/cell/job_record.h"

namespace savorytrail::cell {

// Minimum retry delay sent to a caller whose job was refused or given up.
constexpr common::milliseconds min_retry_after{1000};

// What a cell knows when a job arrives. Work is CPU time, in thousandths of a core x milliseconds.
struct admission_view {
    double capacity = 0;     // effective, in thousandths of a core
    double work_ahead = 0;   // of waiting jobs that go before the candidate
    double work_waiting = 0; // of all waiting jobs

    bool operator==(const admission_view&) const = default;
};

class admission {
public:
    explicit admission(fair_limits limits) : m_fairness(limits) {}

    // Returns why the job is refused, or nullopt if it is taken. Records it as offered.
    std::optional<work::outcome> refuse(const job_record& candidate, const admission_view& view,
                                        common::time_point now);
    bool is_overloaded(double capacity, common::time_point now) const {
        return m_fairness.is_overloaded(capacity, now);
    }

private:
    fair_admission m_fairness;
};

} // namespace savorytrail::cell
