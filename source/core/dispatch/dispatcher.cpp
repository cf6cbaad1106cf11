// Routing of calls to the queue of the upstream.
#include "core/dispatch/dispatcher.h"

#include "absl/strings/str_cat.h"

namespace savorytrail::dispatch {

verdict dispatcher::submit(const ticket& job, common::time_point now, std::vector<start>& starts) {
    const auto it = find(job.upstream);
    if (!it)
        return {false, job::reason::unknown_upstream,
                absl::StrCat("the manifest has no upstream ", job.upstream), std::nullopt};
    const std::lock_guard lock(it->mutex);
    return it->queue->submit(job, now, starts);
}

void dispatcher::complete(const start& done, completion how, common::milliseconds took,
                          common::time_point now, std::vector<start>& starts) {
    const auto it = find(done.upstream);
    if (!it)
        return;
    const std::lock_guard lock(it->mutex);
    it->queue->complete(done, how, took, now, starts);
}

void dispatcher::cancel(const std::string& upstream, const submission::submission_id& id) {
    const auto it = find(upstream);
    if (!it)
        return;
    const std::lock_guard lock(it->mutex);
    it->queue->cancel(id);
}

void dispatcher::set_executors(const std::string& upstream,
                               const std::vector<executor_share>& shares, common::time_point now,
                               std::vector<start>& starts) {
    const auto it = find_or_create(upstream);
    const std::lock_guard lock(it->mutex);
    it->queue->set_executors(shares, now, starts);
}

std::vector<queue_status> dispatcher::status() const {
    std::vector<std::shared_ptr<shard>> shards;
    {
        const std::shared_lock lock(m_mutex);
        for (const auto& [name, it] : m_shards)
            shards.push_back(it);
    }
    std::vector<queue_status> all;
    for (const auto& it : shards) {
        const std::lock_guard lock(it->mutex);
        all.push_back(it->queue->status());
    }
    return all;
}

std::shared_ptr<dispatcher::shard> dispatcher::find(const std::string& upstream) const {
    const std::shared_lock lock(m_mutex);
    const auto it = m_shards.find(upstream);
    return it == m_shards.end() ? nullptr : it->second;
}

std::shared_ptr<dispatcher::shard> dispatcher::find_or_create(const std::string& upstream) {
    const std::lock_guard lock(m_mutex);
    auto& it = m_shards[upstream];
    if (!it) {
        it = std::make_shared<shard>();
        it->queue = make_upstream_queue(upstream, m_policy, m_limits);
    }
    return it;
}

} // namespace savorytrail::dispatch
