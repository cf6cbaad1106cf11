// The queue of one upstream: jobs that wait, executors' slots, and the matching of the two. Sans
// I/O: it is told what happened and answers with the starts that follow.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/dispatch/types.h"

namespace savorytrail::dispatch {

// Not synchronised; the dispatcher holds a lock for each queue.
class upstream_queue {
public:
    virtual ~upstream_queue() = default;

    virtual verdict submit(const ticket& job, common::time_point now,
                           std::vector<start>& starts) = 0;
    virtual void complete(const start& done, completion how, common::milliseconds took,
                          common::time_point now, std::vector<start>& starts) = 0;
    // Takes the job's waiting tasks out of the queue; tasks that run keep their slots.
    virtual void cancel(const submission::submission_id& id) = 0;
    // Replaces the slots this entry may use. Tasks on an executor that is gone run on.
    virtual void set_executors(const std::vector<executor_share>& shares, common::time_point now,
                               std::vector<start>& starts) = 0;
    virtual queue_status status() const = 0;

protected:
    upstream_queue() = default;
    upstream_queue(const upstream_queue&) = default;
    upstream_queue& operator=(const upstream_queue&) = default;
};

struct queue_limits {
    std::size_t max_queued_tasks = 20000;

    bool operator==(const queue_limits&) const = default;
};

// `policy` is one of the names in schema/settings.proto.
std::unique_ptr<upstream_queue> make_upstream_queue(const std::string& upstream,
                                                    std::string_view policy, queue_limits limits);

} // namespace savorytrail::dispatch
