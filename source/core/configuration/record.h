// The configuration row in the platform's table: the manifest's text, who applied it and when, and
// the changes before it. The row is never deleted, so its version only grows.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/manifest/manifest.h"
#include "core/platform/platform.h"

namespace savorytrail::configuration {

constexpr const char* manifest_key = "configuration/manifest";

// Earlier changes kept in the row, by which an answer that was lost can still be settled after
// others have applied theirs.
constexpr std::size_t kept_changes = 16;

struct change {
    std::uint64_t version = 0;
    std::string change_id; // chosen by the author; no two changes share one
    std::string author;
    std::string applied_at; // UTC, ISO 8601; for people, never compared

    auto operator<=>(const change&) const = default;
};

struct record {
    change last;
    std::string text;
    std::vector<change> earlier; // newest first, at most kept_changes

    bool operator==(const record&) const = default;

    // The change of that id among those the row remembers; null when there is none.
    const change* find(const std::string& change_id) const;
};

common::result<std::string> write_record(const record& it);
common::result<record> read_record(const platform::row& row);

// The record in the table; error::not_found before the first apply.
common::result<record> read_current(platform::table& table);

// The manifest in the table if its version is above `version`; error::malformed when it cannot be
// read by this program.
common::result<std::optional<manifest::versioned_manifest>> read_newer(platform::table& table,
                                                                       std::uint64_t version);

} // namespace savorytrail::configuration
