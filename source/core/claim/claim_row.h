// The row of a client key in the platform's table: which submission id stands for the key.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/submission/submission_id.h"

namespace savorytrail::claim {

// Invariant: a row is a pointer and no permission. What may start is decided by the home of the id
// alone, so that a row that takes effect late or twice starts nothing.
struct claim_row {
    submission::submission_id id;
    std::string digest; // of the job that was first submitted under the key

    bool operator==(const claim_row&) const = default;
};

// 1 to 128 letters, digits and . _ ~ -
bool is_valid_key(std::string_view key);

// key/<team>/<key>
std::string row_key(std::string_view team, std::string_view key);

std::string to_text(const claim_row& value);
std::optional<claim_row> parse_claim_row(const std::string& text);

} // namespace savorytrail::claim
