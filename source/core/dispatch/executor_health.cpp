// State machine of an executor: healthy, ejected, probing with one task at a time, recovering with
// a limit that doubles.
#include "core/dispatch/executor_health.h"

#include <algorithm>

namespace savorytrail::dispatch {
namespace {

constexpr std::uint32_t growth_factor = 2;
constexpr std::uint32_t full_recovery_limit = 16;

} // namespace

void executor_health::record(task_grade grade, common::time_point start_time,
                             common::time_point now) {
    if (!started_since_ejection(start_time) || m_state == state::ejected)
        return;
    if (grade != task_grade::good) {
        m_consecutive_failures++;
        if (m_state != state::healthy)
            eject(now);
        return;
    }
    m_consecutive_failures = 0;
    if (m_state != state::healthy)
        advance();
}

void executor_health::eject(common::time_point now) {
    if (m_state != state::healthy)
        m_back_off = std::min(m_back_off * growth_factor, max_back_off);
    m_state = state::ejected;
    m_consecutive_failures = 0;
    m_ejected_at = now;
    m_probe_at = now + m_back_off;
}

void executor_health::tick(common::time_point now) {
    if (m_state != state::ejected || now < m_probe_at)
        return;
    m_state = state::probing;
    m_limit = 1;
    m_successes = 0;
}

std::uint32_t executor_health::allowed(std::uint32_t slots) const {
    switch (m_state) {
    case state::healthy:
        return slots;
    case state::ejected:
        return 0;
    case state::probing:
    case state::recovering:
        break;
    }
    return std::min(slots, m_limit);
}

void executor_health::advance() {
    m_state = state::recovering;
    m_successes++;
    if (m_successes < m_limit)
        return;
    m_limit *= growth_factor;
    m_successes = 0;
    if (m_limit < full_recovery_limit)
        return;
    m_state = state::healthy;
    m_back_off = first_back_off;
}

} // namespace savorytrail::dispatch
