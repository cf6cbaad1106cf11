// When a caller whose job was refused or given up should send it again.
#pragma once

#include <algorithm>
#include <cmath>

#include "core/common/clock.h"

namespace savorytrail::cell {

constexpr common::milliseconds min_retry_after{1000};
// Backlogs change within seconds, so a longer one says nothing about the load that far ahead.
constexpr common::milliseconds max_retry_after{8000};

// The time in which the work ahead is done, rounded up to whole seconds as Retry-After takes them.
inline common::milliseconds retry_after_for(double backlog_ms) {
    const auto longest = static_cast<double>(max_retry_after.count());
    const double bounded = backlog_ms > 0 ? std::min(backlog_ms, longest) : 0; // 0 for NaN too
    const auto seconds = static_cast<std::int64_t>(std::ceil(bounded / 1000));
    return std::max(min_retry_after, common::milliseconds(seconds * 1000));
}

} // namespace savorytrail::cell
