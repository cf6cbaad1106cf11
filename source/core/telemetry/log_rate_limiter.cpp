// Counts the lines of each event name in windows of one second.
#include "core/telemetry/log_rate_limiter.h"

namespace savorytrail::telemetry {
namespace {

constexpr std::chrono::seconds window_length{1};

} // namespace

rate_limit_decision log_rate_limiter::admit(std::string_view event) {
    const auto now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    window& it = m_windows[std::string(event)];
    if (now - it.begun >= window_length) {
        it.begun = now;
        it.written = 0;
    }
    if (it.written >= m_lines_per_second) {
        it.suppressed++;
        return {false, 0};
    }
    it.written++;
    return {true, std::exchange(it.suppressed, 0)};
}

std::vector<std::pair<std::string, std::uint64_t>> log_rate_limiter::take_suppressed() {
    const auto now = m_clock.now();
    std::vector<std::pair<std::string, std::uint64_t>> result;
    const std::lock_guard lock(m_mutex);
    for (auto& [event, it] : m_windows) {
        if (it.suppressed > 0 && now - it.begun >= window_length)
            result.emplace_back(event, std::exchange(it.suppressed, 0));
    }
    return result;
}

} // namespace savorytrail::telemetry
