// Division of the teams' quotas among the entries, without coordination: each entry computes its
// own share from what the others last said of their demand and of the share they use.
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

// What one entry tells the others of one team.
struct team_share {
    std::string team;
    double demand = 0; // tasks per second that are asked for
    double share = 0;  // tasks per second that the entry allows itself

    bool operator==(const team_share&) const = default;
};

// What is known of another entry for one team.
struct peer_share {
    double demand = 0;
    std::optional<double> share; // the last that was heard; nullopt when it was never heard
    bool is_silent = false;

    bool operator==(const peer_share&) const = default;
};

// The share that this entry may use. The entries' shares add up to the quota at most while they
// know the same of each other. A silent peer's last share stays reserved for it, and so does the
// share that a peer still uses: this entry's share grows only by its part of what nobody uses. A
// change that a cut keeps from the others can put the sum above the quota by that change until it
// heals.
double own_share(double quota, const team_share& own, const std::vector<peer_share>& peers);

class share_allocator {
public:
    explicit share_allocator(std::string self) : m_self(std::move(self)) {}

    // The names of all entries by the last full live list.
    void set_entries(const std::vector<std::string>& names);
    // What an entry's heartbeat carried.
    void update_peer(const std::string& entry, const std::vector<team_share>& shares,
                     common::time_point now);
    // Computes this entry's shares anew, puts them in force, and returns them for its heartbeats.
    std::vector<team_share> refresh(const std::vector<manifest::team>& teams, limiter& limits,
                                    common::time_point now);

private:
    struct peer {
        std::optional<common::time_point> heard_at;
        absl::flat_hash_map<std::string, team_share> shares;
    };

    std::vector<peer_share> view_of(const std::string& team, common::time_point now) const;

    const std::string m_self;
    std::mutex m_mutex;
    absl::flat_hash_map<std::string, peer> m_peers;     // guarded by m_mutex; without this entry
    absl::flat_hash_map<std::string, team_share> m_own; // in force; guarded by m_mutex
};

} // namespace savorytrail::quota
