// Limits how many log lines of one event are written in a second.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"

namespace savorytrail::telemetry {

struct rate_limit_decision {
    bool is_written = true;
    std::uint64_t suppressed = 0; // lines of this event dropped since the last one written

    bool operator==(const rate_limit_decision&) const = default;
};

class log_rate_limiter {
public:
    log_rate_limiter(const common::clock& clock, std::uint32_t lines_per_second)
        : m_clock(clock), m_lines_per_second(lines_per_second) {}

    rate_limit_decision admit(std::string_view event);
    // Events whose window is over, with the number of suppressed lines not reported yet.
    std::vector<std::pair<std::string, std::uint64_t>> take_suppressed();

private:
    struct window {
        common::time_point begun;
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
    };

    const common::clock& m_clock;
    const std::uint32_t m_lines_per_second;
    std::mutex m_mutex;
    absl::flat_hash_map<std::string, window> m_windows; // guarded by m_mutex; one for each event
};

} // namespace savorytrail::telemetry
