// Team quotas at one entry: a token bucket for each team, filled at this entry's share of the
// fleet's quota. Also measures how much each team asks for, by which the shares are divided.
#pragma once

#include <array>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"

namespace savorytrail::quota {

// What a team asks for at one entry, whether it gets it or not.
struct demand {
    std::string team;
    double tasks_per_second = 0;

    bool operator==(const demand&) const = default;
};

class limiter {
public:
    // The bucket holds the share of this time.
    static constexpr common::milliseconds burst{1000};

    // Limits a team to its share at this entry. Teams without a share are not limited.
    void set_share(const std::string& team, double tasks_per_second, common::time_point now);
    void remove_share(const std::string& team);

    // Takes the tokens for a job's tasks and returns nullopt, or takes nothing and returns after
    // what time there will be enough. A job larger than the bucket needs a full one and leaves a
    // debt, so that it can run at all and the rate still holds.
    std::optional<common::milliseconds> take(const std::string& team, std::size_t tasks,
                                             common::time_point now);
    // Returns the tokens of a job that was refused after all.
    void refund(const std::string& team, std::size_t tasks, common::time_point now);

    // Of the teams that have a share, in order of their names.
    std::vector<demand> demands(common::time_point now) const;

private:
    struct bucket {
        double share = 0;  // tasks per second
        double tokens = 0; // at most the capacity; below zero after a large job
        common::time_point filled;
        double asked = 0; // tasks asked for, decaying by half in each half_life
        common::time_point decayed;

        double capacity() const;
        void fill(common::time_point now);
        void decay(common::time_point now);
    };

    struct shard {
        mutable std::mutex mutex;
        absl::flat_hash_map<std::string, bucket> buckets; // guarded by mutex
    };

    static constexpr std::size_t shard_count = 8;

    shard& shard_of(const std::string& team);

    std::array<shard, shard_count> m_shards;
};

} // namespace savorytrail::quota
