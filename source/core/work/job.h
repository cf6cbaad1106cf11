// A job whose id the caller chose and that is not stored durably: the caller is answered when the
// job has ended, and until then only the entries that work on it hold it, in memory. If those are
// lost the caller sends the job again, and it may run again from the start, but no task of it runs
// twice at the same time.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/clock.h"
#include "core/work/resources.h"

namespace savorytrail::work {

// Identical tasks that run in parallel once all steps in `depends_on` are done.
struct step {
    int tasks = 1;
    resources task_resources;
    common::milliseconds estimate{0}; // of one task's duration; rough
    std::vector<int> depends_on;      // indices of earlier steps
    std::string required_label;       // an executor must have it; empty: any
    std::string preferred_rack;       // where its data is; elsewhere it takes longer; empty: none
    int max_per_executor = 0;         // 0: no limit
    std::string image;                // what the tasks run; tasks of one image behave alike

    bool operator==(const step&) const = default;
};

// The configured settings of the queue that a job was submitted to.
struct queue_settings {
    std::string name;
    std::string upstream;
    int priority = 0; // 0 is the highest
    int max_attempts = 1;
    double stretch = 1; // objective = stretch x critical path length + target
    common::milliseconds target{0};

    bool operator==(const queue_settings&) const = default;
};

struct job {
    std::string id;
    std::string payload; // opaque; sent with the start of every task
    std::vector<step> steps;
    queue_settings queue;
    common::milliseconds patience{0}; // how long the caller still waits for the answer
    common::milliseconds waited{0};   // lower bound of the time since the caller first sent it
    int earlier_offers = 0;           // of this request, that cells have refused
    // Other cells may take it: one that would be late with it is to return it at once.
    bool has_alternatives = false;

    bool operator==(const job&) const = default;

    int tasks() const;
    // The sum of estimates along the longest path through the steps.
    common::milliseconds critical_path_length() const;
    // The sum of estimates along the longest path through the steps that depend on the given one.
    common::milliseconds path_length_after(int step) const;
    // The longest latency, counted from the first send, at which the answer is still on time.
    common::milliseconds objective() const;
    // Estimated CPU time of all tasks, in thousandths of a core times milliseconds.
    double cpu_demand() const;
};

// A longer estimate or wait says no more than this one, and would overflow times that are added up.
constexpr common::milliseconds max_duration = std::chrono::hours(24);
// Bounds the memory of a job: each task has a record in its dispatcher.
constexpr int max_tasks_of_job = 100000;

// What makes the job impossible to run, for its sender; empty if nothing does.
std::string_view find_defect(const job& it);

enum class job_end {
    succeeded, // every task succeeded
    failed,    // a task failed as many times as its queue allows attempts
    not_run,   // no task has started, and none will
    given_up,  // some tasks may have run; none is running, or none will be kept running
    cancelled, // on request; some tasks may have run, and none will be kept running
};

std::string_view to_string(job_end end);

struct outcome {
    job_end end = job_end::not_run;
    std::string reason;                  // a short text for logs and the caller
    common::milliseconds retry_after{0}; // of not_run: when the caller should retry
    bool lacked_executors = false;       // of not_run: no executor of the dispatcher takes work
    bool would_be_late = false;          // of not_run: returned because it has alternatives

    bool operator==(const outcome&) const = default;
};

} // namespace savorytrail::work
