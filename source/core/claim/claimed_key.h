// A row of a client key that has to be deleted when its id has expired.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace savorytrail::claim {

struct claimed_key {
    std::string key;
    // The row is deleted only at this version: a later row under the key is another claim's.
    std::uint64_t version = 0;

    auto operator<=>(const claimed_key&) const = default;
};

} // namespace savorytrail::claim
