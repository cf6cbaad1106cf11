// Simulated time: events that run in the order of their times, and in that of their creation at
// the same time.
#pragma once

#include <functional>
#include <map>

#include "core/common/clock.h"

namespace savorytrail::cells {

class simulated_time {
public:
    common::time_point now() const { return m_now; }

    void after(common::time_point::duration delay, std::function<void()> work) {
        m_events.emplace(m_now + delay, std::move(work));
    }

    // Moves on to the next event and returns it; an empty one, at `end`, when none is due by then.
    std::function<void()> take_next(common::time_point end) {
        if (m_events.empty() || m_events.begin()->first > end) {
            m_now = end;
            return {};
        }
        m_now = m_events.begin()->first;
        auto work = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        return work;
    }

private:
    common::time_point m_now = common::time_point(std::chrono::hours(1));
    std::multimap<common::time_point, std::function<void()>> m_events;
};

} // namespace savorytrail::cells
