// An executor's steady clock, known by what it said. The estimate is never ahead of the true clock:
// the answer took time to arrive, and the executor's clock is taken to run as slowly as allowed. So
// a lease that ends by it is never longer than meant, and has surely ended when the estimate says
// so.
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

    // Another life of the executor counts from the start.
    void reset() { m_observed_ms.reset(); }

    // A lower bound of what the clock shows; meaningless while it is not known.
    std::int64_t estimate(common::time_point now) const {
        const auto passed =
            std::chrono::duration_cast<common::milliseconds>(now - m_observed_at).count();
        return m_observed_ms.value_or(0) + passed * min_rate_percent / 100;
    }

private:
    static constexpr std::int64_t min_rate_percent = 98; // of our clock's rate

    std::optional<std::int64_t> m_observed_ms;
    common::time_point m_observed_at;
};

} // namespace savorytrail::cell
