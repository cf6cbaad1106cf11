// Changing the configuration row by compare-and-swap. The change id settles answers that were lost
// after the write took effect.
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
    std::optional<std::uint64_t> expected_version; // refused if the row has another; 0: no row yet

    bool operator==(const proposal&) const = default;
};

struct accepted {
    std::uint64_t version = 0;
    std::uint64_t current_version = 0; // above `version` when others have applied theirs since

    auto operator<=>(const accepted&) const = default;
};

// Nothing was written and nothing will be. `winner` is the change in force; its version is 0 when
// the row was expected to exist and does not.
struct conflict {
    change winner;

    bool operator==(const conflict&) const = default;
};

// The change id stands for another text already.
struct reused_change_id {
    change owner;

    bool operator==(const reused_change_id&) const = default;
};

// The write may or may not have taken effect. Applying the same change id again finds out.
struct unknown_outcome {
    std::error_code cause;

    bool operator==(const unknown_outcome&) const = default;
};

using apply_outcome = std::variant<accepted, conflict, reused_change_id, unknown_outcome>;

// Called before the read or the write is tried again after an error; false gives up.
using retry_predicate = std::function<bool()>;

// An error means that nothing was written.
common::result<apply_outcome> apply(platform::table& table, const proposal& proposed,
                                    const retry_predicate& should_retry);

} // namespace savorytrail::configuration
