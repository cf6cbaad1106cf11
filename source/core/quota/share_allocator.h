// Division of the team quotas among the entries, without coordination: each entry computes its own
// share from the demand and the share that the other entries last reported.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"
#include "core/manifest/manifest.h"
#include "core/quota/limiter.h"

namespace savorytrail::quota {

// Demand and share of one team at one entry, as reported to the other entries.
struct team_share {
    std::string team;
    double demand = 0; // requested tasks per second
    double share = 0;  // tasks per second that the entry admits

    bool operator==(const team_share&) const = default;
};

// The last report of another entry for one team.
struct peer_share {
    double demand = 0;
    std::optional<double> share; // nullopt when there was no report yet
    bool is_silent = false;

    bool operator==(const peer_share&) const = default;
};

// Computes the share that this entry may use. While all entries have the same reports, the sum of
// their shares does not exceed the quota. The last share of a silent peer stays reserved for it. A
// share that a peer still uses is reserved too: this entry's share grows only by its part of what
// is unused. If a network partition hides a changed share from other entries, the sum can exceed
// the quota by that change until the partition heals.
double own_share(double quota, const team_share& own, const std::vector<peer_share>& peers);

class share_allocator {
public:
    explicit share_allocator(std::string self) : m_self(std::move(self)) {}

    // Sets the names of all entries, from the last complete live list.
    void set_entries(const std::vector<std::string>& names);
    // Records the shares in a heartbeat of another entry.
    void update_peer(const std::string& entry, const std::vector<team_share>& shares,
                     common::time_point now);
    // Recomputes this entry's shares, applies them to `limits`, and returns them for heartbeats.
    std::vector<team_share> refresh(const std::vector<manifest::team>& teams, limiter& limits,
                                    common::time_point now);

private:
    struct peer {
        std::optional<common::time_point> last_report_at;
        absl::flat_hash_map<std::string, team_share> shares;
    };

    std::vector<peer_share> peer_shares_of(const std::string& team, common::time_point now) const;

    const std::string m_self;
    std::mutex m_mutex;
    absl::flat_hash_map<std::string, peer> m_peers; // other entries, by name; guarded by m_mutex
    absl::flat_hash_map<std::string, team_share> m_own; // as last applied; guarded by m_mutex
};

} // namespace savorytrail::quota
