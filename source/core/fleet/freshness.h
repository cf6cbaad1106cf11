// Bounds the age of what an entry knows of a document that it replicates from the platform's store,
// such as the configuration. An entry that hears nothing newer can't tell whether nothing has
// changed or whether the news do not reach it, so it keeps the time at which its version was last
// known to be the newest, by the store or by an entry that knew. When that is too long ago, it
// checks with the store itself, whoever else reads the store. Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>

#include "core/common/clock.h"

namespace savorytrail::fleet {

struct freshness_limits {
    // An entry whose version was confirmed longer ago checks it.
    common::milliseconds max_age{2000};
    // Entries wait for up to this much longer, each for another time, so that the first ones to
    // check spare the others the call.
    common::milliseconds spread{200};
    // Between two checks; doubles up to the maximum while they fail.
    common::milliseconds check_interval{400};
    common::milliseconds max_check_interval{1000};

    bool operator==(const freshness_limits&) const = default;
};

class freshness {
public:
    // `entry_key`: differs between entries.
    freshness(freshness_limits limits, std::uint64_t entry_key);

    // The version that this entry has was the newest at that time.
    void confirm(common::time_point as_of);
    // Another entry that has the same version told at `told_at` how long before it was the newest,
    // if it knew.
    void confirm(std::optional<common::milliseconds> age, common::time_point told_at);
    // Time since the version was last known to be the newest; nullopt when it never was.
    std::optional<common::milliseconds> age(common::time_point now) const;
    // Whether the version was the newest a short time ago. A request may be refused on the ground
    // of a document only while this holds.
    bool is_current(common::time_point now) const;

    // Whether to check with the store now. The caller then does so.
    bool begin_check_if_due(common::time_point now);

private:
    const freshness_limits m_limits;
    const common::milliseconds m_max_age; // of this entry
    std::optional<common::time_point> m_as_of;
    common::time_point m_next_check; // the epoch: at once
    common::milliseconds m_check_interval;
};

} // namespace savorytrail::fleet
