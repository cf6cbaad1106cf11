// Health of one executor as one entry sees it: ejection, probes after a back-off, gradual return.
#pragma once

#include <cstdint>

#include "core/common/clock.h"
#include "core/dispatch/types.h"

namespace savorytrail::dispatch {

// How a task went, from the executor's side.
enum class task_grade {
    good,
    slow, // answered, but far later than is usual for its kind
    bad,  // failed, no answer, or not started
};

class executor_health {
public:
    // Failures or slow answers in a row that call for an ejection.
    static constexpr std::uint32_t consecutive_failures_to_eject = 3;
    static constexpr common::milliseconds first_back_off{2000};
    static constexpr common::milliseconds max_back_off{60000};

    enum class state { healthy, ejected, probing, recovering };

    // Takes in how a task ended. Tasks that began before the last ejection count for nothing.
    void record(task_grade grade, common::time_point start_time, common::time_point now);

    // Whether a task that began then says anything about the present.
    bool started_since_ejection(common::time_point start_time) const {
        return start_time >= m_ejected_at;
    }

    // Whether what was recorded calls for an ejection. The pool decides whether it may have one.
    bool should_eject() const { return m_consecutive_failures >= consecutive_failures_to_eject; }
    void eject(common::time_point now);

    // Ends the back-off when it is over.
    void tick(common::time_point now);

    // How many tasks it may run at once, of `slots`.
    std::uint32_t allowed(std::uint32_t slots) const;

    bool is_out_of_service() const {
        return m_state == state::ejected || m_state == state::probing;
    }
    state current() const { return m_state; }

private:
    void advance();

    state m_state = state::healthy;
    std::uint32_t m_consecutive_failures = 0; // bad or slow tasks in a row
    std::uint32_t m_limit = 1;                // tasks at once while probing or recovering
    std::uint32_t m_successes = 0;            // good tasks since m_limit was set
    common::time_point m_ejected_at = common::time_point::min();
    common::time_point m_probe_at;
    common::milliseconds m_back_off = first_back_off;
};

} // namespace savorytrail::dispatch
