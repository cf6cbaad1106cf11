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
