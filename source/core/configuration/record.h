// The configuration row in the platform's table: the text of the manifest, who applied it and when,
// and the preceding changes. The row is never deleted, so its version only increases.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/manifest/manifest.h"
#include "core/platform/platform.h"

namespace savorytrail::configuration {

constexpr const char* manifest_key = "configuration/manifest";

// Earlier changes kept in the row. They show whether a change whose reply was lost took effect,
// even after later changes.
constexpr std::size_t max_earlier_changes = 16;

struct change {
    std::uint64_t version = 0;
    std::string change_id; // chosen by the author; unique
    std::string author;
    std::string applied_at; // UTC, ISO 8601; for display only, never compared

    auto operator<=>(const change&) const = default;
};

struct record {
    change last;
    std::string text;
    std::vector<change> earlier; // newest first, at most max_earlier_changes

    bool operator==(const record&) const = default;

    // The last or an earlier change with that id; null if the record contains none.
    const change* find(const std::string& change_id) const;
};

common::result<std::string> write_record(const record& it);
common::result<record> read_record(const platform::row& row);

// The record in the table; fails with error::not_found before the first apply.
common::result<record> read_current(platform::table& table);

// The manifest in the table if its version is above `version`. Fails with error::malformed if this
// program cannot parse it.
common::result<std::optional<manifest::versioned_manifest>> read_newer(platform::table& table,
                                                                       std::uint64_t version);

} // namespace savorytrail::configuration
