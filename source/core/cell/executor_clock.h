// Estimates an executor's steady clock from the readings in its answers. The estimate is a lower
// bound: an answer takes time to arrive, and the executor's clock is assumed to run at the slowest
// allowed rate. So a lease computed from the estimate is never longer than intended, and a lease
// whose end the estimate has passed has certainly expired.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "core/common/clock.h"

namespace savorytrail::cell {

class executor_clock {
public:
    bool is_known() const { return m_observed_ms.has_value(); }

    void observe(std::int64_t clock_ms, common::time_point now) {
        if (!m_observed_ms || clock_ms > estimate(now)) {
            m_observed_ms = clock_ms;
            m_observed_at = now;
        }
    }

    // Discards all readings: a restarted executor counts from zero.
    void reset() { m_observed_ms.reset(); }

    // The reading by which a lease granted now has to end, so that it has certainly expired
    // `duration` from now.
    std::int64_t end_of_lease(common::time_point now, common::milliseconds duration) const {
        return estimate(now) + duration.count() * min_rate_percent / 100;
    }

    // The longest that a lease of `duration` on an executor's clock can last.
    static common::milliseconds longest(common::milliseconds duration) {
        return duration * 100 / min_rate_percent + common::milliseconds(1);
    }

    // A lower bound of the executor's clock; meaningless unless is_known().
    std::int64_t estimate(common::time_point now) const {
        const auto passed =
            std::chrono::duration_cast<common::milliseconds>(now - m_observed_at).count();
        return m_observed_ms.value_or(0) + passed * min_rate_percent / 100;
    }

private:
    static constexpr std::int64_t min_rate_percent = 98; // of the local clock's rate

    std::optional<std::int64_t> m_observed_ms;
    common::time_point m_observed_at;
};

} // namespace savorytrail::cell
