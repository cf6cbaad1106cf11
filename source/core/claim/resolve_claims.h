// Resolves claims of client keys in the platform's table.
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
    claim_row proposed; // written unless the key already has a row

    bool operator==(const pending_claim&) const = default;
};

// Returns the row of each claim's key, or error::unavailable if it cannot be determined now. All
// new rows are written in one transaction. If the reply to a commit is lost, the rows are read
// back. Keys must be distinct.
std::vector<common::result<resolved_claim>>
resolve_claims(platform::table& table, const std::vector<pending_claim>& claims);

} // namespace savorytrail::claim
