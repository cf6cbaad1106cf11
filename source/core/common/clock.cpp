// The production clock.
#include "core/common/clock.h"

#include <ctime>

namespace savorytrail::common {

time_point system_clock::now() const {
    return std::chrono::steady_clock::now();
}

std::chrono::milliseconds system_clock::suspended() const {
    timespec with{};
    timespec without{};
    clock_gettime(CLOCK_BOOTTIME, &with);
    clock_gettime(CLOCK_MONOTONIC, &without);
    return std::chrono::milliseconds((with.tv_sec - without.tv_sec) * 1000 +
                                     (with.tv_nsec - without.tv_nsec) / 1000000);
}

} // namespace savorytrail::common
