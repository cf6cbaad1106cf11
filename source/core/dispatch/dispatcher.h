// All upstreams' queues of one entry, each under its own lock.
#pragma once

#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/dispatch/types.h"
#include "core/dispatch/upstream_queue.h"

namespace savorytrail::dispatch {

class dispatcher {
public:
    dispatcher(std::string policy, queue_limits limits)
        : m_policy(std::move(policy)), m_limits(limits) {}
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    verdict submit(const ticket& job, common::time_point now, std::vector<start>& starts);
    void complete(const start& done, completion how, common::milliseconds took,
                  common::time_point now, std::vector<start>& starts);
    void cancel(const std::string& upstream, const submission::submission_id& id);
    void set_executors(const std::string& upstream, const std::vector<executor_share>& shares,
                       common::time_point now, std::vector<start>& starts);
    std::vector<queue_status> status() const;

private:
    struct shard {
        mutable std::mutex mutex;
        std::unique_ptr<upstream_queue> queue; // guarded by mutex
    };

    std::shared_ptr<shard> find(const std::string& upstream) const;
    std::shared_ptr<shard> find_or_create(const std::string& upstream);

    const std::string m_policy;
    const queue_limits m_limits;
    mutable std::shared_mutex m_mutex;
    absl::flat_hash_map<std::string, std::shared_ptr<shard>> m_shards; // guarded by m_mutex
};

} // namespace savorytrail::dispatch
