// The queues of all upstreams of one entry, each with its own lock.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
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

    // Called with the upstream's name when tasks of a new submission have to wait for a slot. Must
    // be set before the first submission and must not call back into the dispatcher.
    void set_backlog_listener(std::function<void(const std::string&)> listener) {
        m_on_backlog = std::move(listener);
    }

    // The functions below forward to upstream_queue.
    admission_result submit(const job_descriptor& job, common::time_point now,
                            std::vector<task_start>& starts);
    std::optional<admission_result> complete(const task_start& done, completion outcome,
                                             common::milliseconds duration, common::time_point now,
                                             std::vector<task_start>& starts);
    void cancel(const std::string& upstream, const submission::submission_id& id);
    void set_executors(const std::string& upstream, const std::vector<executor_share>& shares,
                       common::time_point now, std::vector<task_start>& starts);
    void tick(common::time_point now, std::vector<task_start>& starts);
    std::vector<queue_status> status() const;

    std::vector<executor_slots> lend(const std::string& upstream, std::uint32_t wanted);
    void take_back(const std::string& upstream, const std::vector<executor_slots>& slots,
                   common::time_point now, std::vector<task_start>& starts);
    void add_borrowed(const std::string& upstream, const std::vector<executor_share>& slots,
                      common::time_point now, std::vector<task_start>& starts);
    std::vector<executor_slots> give_back(const std::string& upstream,
                                          const std::vector<executor_slots>& slots);
    void end_borrowed(const std::string& upstream, const std::vector<executor_slots>& slots);
    void set_borrowable(const std::string& upstream, std::optional<std::size_t> slots);
    std::vector<slot_demand> demands() const;
    void eject(const std::string& upstream, const std::string& executor, common::time_point now);
    bool owns(const std::string& upstream, const std::string& executor) const;
    // Number of idle own slots; 0 while tasks wait.
    std::size_t lendable_slots(const std::string& upstream) const;

private:
    struct locked_queue {
        mutable std::mutex mutex;
        std::unique_ptr<upstream_queue> queue; // guarded by mutex
    };

    std::shared_ptr<locked_queue> find(const std::string& upstream) const;
    std::shared_ptr<locked_queue> find_or_create(const std::string& upstream);
    std::vector<std::shared_ptr<locked_queue>> all_queues() const;

    const std::string m_policy;
    const queue_limits m_limits;
    std::function<void(const std::string&)> m_on_backlog;
    mutable std::shared_mutex m_mutex;
    absl::flat_hash_map<std::string, std::shared_ptr<locked_queue>> m_queues; // guarded by m_mutex
};

} // namespace savorytrail::dispatch
