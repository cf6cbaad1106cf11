// Detects that a process did not run for a while: its ticks were late, or its VM was suspended.
// What other processes sent meanwhile then waits to be processed, so that for a moment this one
// knows less than it seems to: it must not renew or grant anything on what it believed before.
// Not thread-safe.
#pragma once

#include <algorithm>

#include "core/common/clock.h"

namespace savorytrail::common {

class stall_detector {
public:
    // A time of more than `tolerated` between two ticks is a stall.
    stall_detector(const clock& by, milliseconds tolerated)
        : m_clock(by), m_tolerated(tolerated), m_last_tick(by.now()), m_suspended(by.suspended()) {}

    // To be called at each tick of a periodic timer, before all other work.
    void tick() {
        // The tick may run before other events of the same round of the loop, so a tick in time is
        // waited for.
        m_last_stall = current_stall();
        m_was_last_tick_late = is_late();
        m_last_tick = m_clock.now();
        m_suspended = m_clock.suspended();
    }

    // There was a stall, and events that arrived during it may not have been processed yet.
    bool is_catching_up() const { return m_was_last_tick_late || is_late(); }

    // How long an event that is processed now may have waited.
    milliseconds longest_wait() const { return std::max(current_stall(), m_last_stall); }

    // The time since the last tick, without suspensions of the VM.
    milliseconds since_last_tick() const {
        return std::chrono::duration_cast<milliseconds>(m_clock.now() - m_last_tick);
    }
    // The time since the last tick for which the VM was suspended.
    milliseconds suspended_since_last_tick() const { return m_clock.suspended() - m_suspended; }

private:
    milliseconds elapsed() const { return since_last_tick() + suspended_since_last_tick(); }
    bool is_late() const { return elapsed() > m_tolerated; }
    milliseconds current_stall() const { return is_late() ? elapsed() : milliseconds(0); }

    const clock& m_clock;
    const milliseconds m_tolerated;
    time_point m_last_tick;
    milliseconds m_suspended;     // total at the last tick
    milliseconds m_last_stall{0}; // before the last tick; 0 if that was in time
    bool m_was_last_tick_late = false;
};

} // namespace savorytrail::common
