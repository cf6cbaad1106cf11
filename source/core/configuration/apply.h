// Changes the configuration row by compare-and-swap. The change id makes retries idempotent if a
// reply is lost after the write took effect.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "core/configuration/record.h"

namespace savorytrail::configuration {

struct proposal {
    std::string text; // a valid manifest
    std::string change_id;
    std::string author;
    std::string applied_at;
    std::optional<std::uint64_t> expected_version; // refused if the row has another; 0: no row

    bool operator==(const proposal&) const = default;
};

struct accepted {
    std::uint64_t version = 0;
    std::uint64_t current_version = 0; // above `version` if later changes were applied

    auto operator<=>(const accepted&) const = default;
};

// Nothing was written and no attempt can still take effect. `winner` is the current change; its
// version is 0 if a row was expected but does not exist.
struct conflict {
    change winner;

    bool operator==(const conflict&) const = default;
};

// The change id is already used for another text.
struct reused_change_id {
    change owner;

    bool operator==(const reused_change_id&) const = default;
};

// The write may or may not have taken effect. Applying the same change id again determines which.
struct unknown_outcome {
    std::error_code cause;

    bool operator==(const unknown_outcome&) const = default;
};

using apply_outcome = std::variant<accepted, conflict, reused_change_id, unknown_outcome>;

// Called before a read or write is retried after an error; returns false to stop retrying.
using retry_predicate = std::function<bool()>;

// Returns an error only if nothing was written.
common::result<apply_outcome> apply(platform::table& table, const proposal& proposed,
                                    const retry_predicate& should_retry);

} // namespace savorytrail::configuration
