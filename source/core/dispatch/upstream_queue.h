// The queue of one upstream: assigns the tasks of waiting jobs to executors' slots. Performs no
// I/O: callers report events and get back the resulting task starts.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/dispatch/types.h"

namespace savorytrail::dispatch {

// Not synchronised; the dispatcher holds a lock for each queue.
class upstream_queue {
public:
    virtual ~upstream_queue() = default;

    virtual admission_result submit(const job_descriptor& job, common::time_point now,
                                    std::vector<task_start>& starts) = 0;
    // Frees the start's slot. Returns a result when the job is to be given up, because the task
    // reached no executor and the retry budget is spent.
    virtual std::optional<admission_result> complete(const task_start& done, completion outcome,
                                                     common::milliseconds duration,
                                                     common::time_point now,
                                                     std::vector<task_start>& starts) = 0;
    // Removes the job's waiting tasks from the queue; running tasks keep their slots.
    virtual void cancel(const submission::submission_id& id) = 0;
    // Replaces the slots that this entry owns. Tasks on a removed executor continue.
    virtual void set_executors(const std::vector<executor_share>& shares, common::time_point now,
                               std::vector<task_start>& starts) = 0;
    // Makes time-driven decisions: ejection of executors with overdue tasks, and probes.
    virtual void tick(common::time_point now, std::vector<task_start>& starts) = 0;
    virtual queue_status status() const = 0;

    // Lends up to `wanted` idle own slots, which are not used here until they are taken back.
    virtual std::vector<executor_slots> lend(std::uint32_t wanted) = 0;
    virtual void take_back(const std::vector<executor_slots>& slots, common::time_point now,
                           std::vector<task_start>& starts) = 0;
    virtual void add_borrowed(const std::vector<executor_share>& slots, common::time_point now,
                              std::vector<task_start>& starts) = 0;
    // Gives back those of the slots that are idle; returns them.
    virtual std::vector<executor_slots> give_back(const std::vector<executor_slots>& slots) = 0;
    // Removes borrowed slots whose loan has ended. Tasks on them continue.
    virtual void end_borrowed(const std::vector<executor_slots>& slots) = 0;
    // Slots that peers could lend, for admission; nullopt when there is no peer to borrow from.
    virtual void set_borrowable(std::optional<std::size_t> slots) = 0;
    virtual slot_demand demand() const = 0;
    virtual bool has_backlog() const = 0;
    // Ejects an executor that a borrower reports, within the same bounds as for failures seen here.
    virtual void eject(const std::string& executor, common::time_point now) = 0;
    virtual bool owns(const std::string& executor) const = 0;

protected:
    upstream_queue() = default;
    upstream_queue(const upstream_queue&) = default;
    upstream_queue& operator=(const upstream_queue&) = default;
};

struct queue_limits {
    std::size_t max_queued_tasks = 20000;

    bool operator==(const queue_limits&) const = default;
};

// `policy` is one of the names in schema/settings.proto, or of a baseline for comparison.
std::unique_ptr<upstream_queue> make_upstream_queue(const std::string& upstream,
                                                    std::string_view policy, queue_limits limits);

} // namespace savorytrail::dispatch
