// Settles claims of client keys against the platform's table.
#pragma once

#include <string>
#include <vector>

#include "core/claim/claim_row.h"
#include "core/platform/platform.h"

namespace savorytrail::claim {

struct resolved_claim {
    claim_row row;
    std::uint64_t version = 0; // of the table's row

    bool operator==(const resolved_claim&) const = default;
};

struct pending_claim {
    std::string key;    // row_key()
    claim_row proposed; // written unless the key is taken

    bool operator==(const pending_claim&) const = default;
};

// The row that stands for each claim's key, or error::unavailable when that cannot be known now.
// All new rows go into one transaction. A commit whose answer was lost is resolved by reading the
// rows back. Keys must be distinct.
std::vector<common::result<resolved_claim>>
resolve_claims(platform::table& table, const std::vector<pending_claim>& claims);

} // namespace savorytrail::claim
