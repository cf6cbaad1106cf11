// The row of a client key in the platform's table, which maps the key to a submission id.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/submission/submission_id.h"

namespace savorytrail::claim {

// Invariant: a row only refers to an id and authorises nothing. The home of the id alone decides
// which tasks may start, so a row that is written late or twice starts nothing.
struct claim_row {
    submission::submission_id id;
    std::string digest; // of the first job submitted under the key

    bool operator==(const claim_row&) const = default;
};

// 1 to 128 letters, digits and . _ ~ -
bool is_valid_key(std::string_view key);

// key/<team>/<key>
std::string row_key(std::string_view team, std::string_view key);

std::string to_text(const claim_row& value);
std::optional<claim_row> parse_claim_row(const std::string& text);

} // namespace savorytrail::claim
