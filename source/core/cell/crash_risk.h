// Limits how many executors a cell puts at risk by starting suspects: a crash takes an executor
// from all jobs for seconds, and many suspects at once could take so many that innocent jobs lack
// capacity. A suspect counts until it is cleared, or until the executor that it crashed is back.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "core/work/executor.h"

namespace savorytrail::cell {

class crash_risk {
public:
    // Whether one more suspect may start, in a cell of so many executors.
    bool may_start(std::size_t executors) const { return used() < limit(executors); }
    // When the next suspect may start, as far as is known: a probation may end at any time, and an
    // executor that was crashed is back at a known one.
    common::time_point next_start(std::size_t executors, common::time_point now) const {
        if (may_start(executors)) {
            return now;
        }
        auto earliest = m_on_probation.empty() ? common::time_point::max() : now;
        for (const auto until : m_lost_until) {
            earliest = std::min(earliest, until);
        }
        return earliest;
    }

    void note_start(const work::run_key& run, const std::string& executor) {
        m_on_probation[run] = executor;
    }
    // The run has ended, or its probation has.
    void note_end(const work::run_key& run) { m_on_probation.erase(run); }
    void note_crash(const work::run_key& run, common::time_point now) {
        if (m_on_probation.erase(run) > 0) {
            m_lost_until.push_back(now + recovery_time);
        }
    }
    void tick(common::time_point now) {
        std::erase_if(m_lost_until, [now](auto until) { return until <= now; });
    }
    // Runs of suspects, each with its executor.
    const std::map<work::run_key, std::string>& on_probation() const { return m_on_probation; }

private:
    // An executor that has crashed is back after some seconds.
    static constexpr common::milliseconds recovery_time{4000};
    static constexpr std::size_t executors_per_suspect = 16;

    std::size_t used() const { return m_on_probation.size() + m_lost_until.size(); }
    static std::size_t limit(std::size_t executors) {
        return std::max<std::size_t>(executors / executors_per_suspect, 1);
    }

    std::map<work::run_key, std::string> m_on_probation;
    std::vector<common::time_point> m_lost_until;
};

} // namespace savorytrail::cell
