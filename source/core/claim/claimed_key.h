// Reference to the row of a client key that must be deleted after its id has expired.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace savorytrail::claim {

struct claimed_key {
    std::string key;
    // The row is deleted only at this version: a later version belongs to another claim of the key.
    std::uint64_t version = 0;

    auto operator<=>(const claimed_key&) const = default;
};

} // namespace savorytrail::claim
