// The production clock.
#include "core/common/clock.h"

namespace savorytrail::common {

time_point system_clock::now() const {
    return std::chrono::steady_clock::now();
}

} // namespace savorytrail::common
