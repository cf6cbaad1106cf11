// Value types exchanged between the dispatcher and the home.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/job/job.h"
#include "core/manifest/manifest.h"
#include "core/submission/submission_id.h"

namespace savorytrail::dispatch {

using shared_executor = std::shared_ptr<const manifest::executor>;

// The properties of a job that the queue uses.
struct job_descriptor {
    submission::submission_id id;
    std::string team;
    std::string upstream;
    common::time_point arrived;
    common::time_point deadline = common::time_point::max();
    std::vector<common::milliseconds> expected; // the caller's estimate for each task
    std::vector<std::uint64_t> kinds;           // task_kind() of each task; empty when not known
    std::uint32_t fleet_slots = 0;              // of the upstream in the manifest; 0 when not known

    bool operator==(const job_descriptor&) const = default;
};

// An order to start one task on one executor. It holds the executor's slot until complete() is
// called with it.
struct task_start {
    submission::submission_id id;
    std::uint32_t task = 0;
    std::string upstream;
    shared_executor executor;

    bool operator==(const task_start&) const = default;
};

enum class completion {
    answered,    // the executor answered
    failed,      // the executor answered with a server error
    unknown,     // no answer came
    not_started, // nothing reached the executor; the task goes back to the queue
    dropped,     // the submission was closed meanwhile; the executor was not asked
};

struct admission_result {
    bool is_accepted = true;
    job::reason why = job::reason::none;
    std::string detail;
    std::optional<common::milliseconds> retry_after;

    bool operator==(const admission_result&) const = default;
};

// Slots of one executor that this entry may use.
struct executor_share {
    manifest::executor executor;
    std::uint32_t slots = 0;

    bool operator==(const executor_share&) const = default;
};

// Slots of an executor by name, as they are lent and given back.
struct executor_slots {
    std::string executor;
    std::uint32_t slots = 0;

    bool operator==(const executor_slots&) const = default;
};

// Slots that a queue needs, could lend, or could give back.
struct slot_demand {
    std::string upstream;
    std::size_t queued_tasks = 0;
    std::size_t slots = 0;                     // usable, including borrowed ones
    std::size_t idle_own = 0;                  // own slots that could be lent
    std::vector<executor_slots> idle_borrowed; // borrowed slots without a task
    std::vector<std::string> ejected_borrowed; // ejected executors with borrowed slots

    bool operator==(const slot_demand&) const = default;
};

struct queue_status {
    std::string upstream;
    std::size_t queued_tasks = 0;
    std::size_t running_tasks = 0;
    std::size_t slots = 0;             // usable now, including borrowed ones
    std::size_t idle_slots = 0;        // of the usable slots
    std::size_t ejected_executors = 0; // that get no tasks except probes

    bool operator==(const queue_status&) const = default;
};

} // namespace savorytrail::dispatch
