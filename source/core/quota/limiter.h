// Per-team rate limits at one entry: a token bucket for each team, refilled at this entry's share
// of the team's quota. Also measures the demand of each team, by which the quotas are divided.
#pragma once

#include <array>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"

namespace savorytrail::quota {

// Rate of task starts that a team requests at one entry, admitted or not.
struct demand {
    std::string team;
    double tasks_per_second = 0;

    bool operator==(const demand&) const = default;
};

class limiter {
public:
    // The capacity of a bucket is the share over this time.
    static constexpr common::milliseconds burst{1000};

    // Limits a team to its share at this entry. Teams without a share are not limited.
    void set_share(const std::string& team, double tasks_per_second, common::time_point now);
    void remove_share(const std::string& team);

    // Takes the tokens for a job's tasks and returns nullopt, or takes none and returns the time
    // until there will be enough. A job larger than the bucket is admitted when the bucket is full
    // and leaves it negative, so that such a job can run and the average rate still holds.
    std::optional<common::milliseconds> take(const std::string& team, std::size_t tasks,
                                             common::time_point now);
    // Returns the tokens of a job that was refused for another reason.
    void refund(const std::string& team, std::size_t tasks, common::time_point now);

    // The demands of the teams that have a share, sorted by name.
    std::vector<demand> demands(common::time_point now) const;

private:
    struct bucket {
        double share = 0;  // tasks per second
        double tokens = 0; // at most the capacity; negative after a job larger than the bucket
        common::time_point last_refill;
        double requested = 0; // requested tasks, halved every half_life_s
        common::time_point last_decay;

        double capacity() const;
        void refill(common::time_point now);
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
