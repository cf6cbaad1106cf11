// JSON form of claim rows, and the syntax of client keys.
#include "core/claim/claim_row.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"

namespace savorytrail::claim {
namespace {

constexpr std::size_t max_key_length = 128;

bool is_key_character(char it) {
    return absl::ascii_isalnum(static_cast<unsigned char>(it)) || it == '.' || it == '_' ||
           it == '~' || it == '-';
}

} // namespace

bool is_valid_key(std::string_view key) {
    return !key.empty() && key.size() <= max_key_length &&
           std::all_of(key.begin(), key.end(), is_key_character);
}

std::string row_key(std::string_view team, std::string_view key) {
    return "key/" + std::string(team) + "/" + std::string(key);
}

std::string to_text(const claim_row& value) {
    const nlohmann::json row = {{"id", submission::to_string(value.id)},
                                {"digest", absl::WebSafeBase64Escape(value.digest)}};
    return row.dump();
}

std::optional<claim_row> parse_claim_row(const std::string& text) {
    const auto row = nlohmann::json::parse(text, nullptr, false);
    if (!row.is_object())
        return std::nullopt;
    const auto id = submission::parse_submission_id(row.value("id", ""));
    claim_row value;
    if (!id || !absl::WebSafeBase64Unescape(row.value("digest", ""), &value.digest))
        return std::nullopt;
    value.id = *id;
    return value;
}

} // namespace savorytrail::claim
