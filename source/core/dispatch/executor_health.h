// Health of one executor as one entry observes it: ejection, probes after a back-off, then a
// gradual return.
#pragma once

#include <cstdint>

#include "core/common/clock.h"
#include "core/dispatch/types.h"

namespace savorytrail::dispatch {

// Rating of an ended task, as a measure of its executor's health.
enum class task_grade {
    good,
    slow, // answered, but far later than is usual for its kind
    bad,  // failed, no answer, or not started
};

class executor_health {
public:
    // Number of consecutive failures or slow answers that calls for an ejection.
    static constexpr std::uint32_t consecutive_failures_to_eject = 3;
    static constexpr common::milliseconds first_back_off{2000};
    static constexpr common::milliseconds max_back_off{60000};

    enum class state { healthy, ejected, probing, recovering };

    // Records how a task ended. Tasks that started before the last ejection are ignored.
    void record(task_grade grade, common::time_point start_time, common::time_point now);

    // Whether a task with this start time reflects the state since the last ejection.
    bool started_since_ejection(common::time_point start_time) const {
        return start_time >= m_ejected_at;
    }

    // Whether the recorded tasks call for an ejection. The pool decides whether it is allowed.
    bool should_eject() const { return m_consecutive_failures >= consecutive_failures_to_eject; }
    void eject(common::time_point now);

    // Starts probing once the back-off has elapsed.
    void tick(common::time_point now);

    // Number of its `slots` that may be in use at once.
    std::uint32_t allowed(std::uint32_t slots) const;

    bool is_out_of_service() const {
        return m_state == state::ejected || m_state == state::probing;
    }
    state current() const { return m_state; }

private:
    void advance();

    state m_state = state::healthy;
    std::uint32_t m_consecutive_failures = 0; // consecutive bad or slow tasks
    std::uint32_t m_limit = 1;                // tasks at once while probing or recovering
    std::uint32_t m_successes = 0;            // good tasks since m_limit was set
    common::time_point m_ejected_at = common::time_point::min();
    common::time_point m_probe_at;
    common::milliseconds m_back_off = first_back_off;
};

} // namespace savorytrail::dispatch
