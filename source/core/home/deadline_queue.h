// Deadlines of one home's open submissions, in shards that are locked one at a time.
#pragma once

#include <array>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/common/clock.h"
#include "core/submission/submission_id.h"

namespace savorytrail::home {

struct due_submission {
    submission::submission_id id;
    std::string upstream;

    auto operator<=>(const due_submission&) const = default;
};

class deadline_queue {
public:
    void add(common::time_point deadline, const due_submission& it);

    // Removes and returns the entries that are due. Their submissions may have ended already.
    std::vector<due_submission> take_due(common::time_point now);

private:
    struct shard {
        std::mutex mutex;
        std::set<std::pair<common::time_point, due_submission>> entries; // guarded by mutex
    };

    static constexpr std::size_t shard_count = 8;
    std::array<shard, shard_count> m_shards;
};

} // namespace savorytrail::home
