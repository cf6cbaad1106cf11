// The production source of randomness.
#include "core/common/random.h"

#include <openssl/rand.h>

#include <cstdlib>

namespace savorytrail::common {

std::uint64_t secure_random::next() {
    std::uint64_t value = 0;
    // Submission ids must be unpredictable, so the process aborts without secure random bits.
    if (RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof(value)) != 1)
        std::abort();
    return value;
}

} // namespace savorytrail::common
