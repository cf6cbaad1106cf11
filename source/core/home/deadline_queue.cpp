// Deadlines in one ordered set per shard.
#include "core/home/deadline_queue.h"

namespace savorytrail::home {

void deadline_queue::add(common::time_point deadline, const due_submission& it) {
    shard& target = m_shards.at(it.id.sequence % shard_count);
    const std::lock_guard lock(target.mutex);
    target.entries.insert({deadline, it});
}

std::vector<due_submission> deadline_queue::take_due(common::time_point now) {
    std::vector<due_submission> due;
    for (auto& it : m_shards) {
        const std::lock_guard lock(it.mutex);
        while (!it.entries.empty() && it.entries.begin()->first <= now) {
            due.push_back(it.entries.begin()->second);
            it.entries.erase(it.entries.begin());
        }
    }
    return due;
}

} // namespace savorytrail::home
