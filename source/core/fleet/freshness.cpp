#include "core/fleet/freshness.h"

#include <algorithm>

namespace savorytrail::fleet {

using common::milliseconds;
using common::time_point;

freshness::freshness(freshness_limits limits, std::uint64_t entry_key)
    : m_limits(limits),
      m_max_age(limits.max_age +
                milliseconds(entry_key % static_cast<std::uint64_t>(limits.spread.count() + 1))),
      m_check_interval(limits.check_interval) {}

void freshness::confirm(time_point as_of) {
    m_as_of = m_as_of ? std::max(*m_as_of, as_of) : as_of;
}

void freshness::confirm(std::optional<milliseconds> age, time_point told_at) {
    if (age) {
        confirm(told_at - *age);
    }
}

std::optional<milliseconds> freshness::age(time_point now) const {
    if (!m_as_of) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - *m_as_of);
}

bool freshness::is_current(time_point now) const {
    return m_as_of && now - *m_as_of <= m_max_age;
}

bool freshness::begin_check_if_due(time_point now) {
    if (is_current(now)) {
        m_check_interval = m_limits.check_interval;
        m_next_check = {};
        return false;
    }
    if (now < m_next_check) {
        return false;
    }
    m_next_check = now + m_check_interval;
    m_check_interval = std::min(2 * m_check_interval, m_limits.max_check_interval);
    return true;
}

} // namespace savorytrail::fleet
