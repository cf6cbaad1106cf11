// A job that a caller named itself and that need not be kept: its answer is due when it has ended,
// and until then it lives in the memory of the entries that work on it. If those are lost the
// caller sends it again, and it may run again from the start, but no task of it runs twice at once.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/clock.h"
#include "core/work/resources.h"

namespace savorytrail::work {

// Tasks that are alike and run in parallel once all steps in `depends_on` are done.
struct step {
    int tasks = 1;
    resources task_resources;
    common::milliseconds estimate{0}; // of one task's duration; rough
    std::vector<int> depends_on;      // indices of earlier steps
    std::string required_label;       // an executor must have it; empty: any
    std::string preferred_rack;       // where its data is; elsewhere it takes longer; empty: none
    int max_per_executor = 0;         // 0: no limit

    bool operator==(const step&) const = default;
};

// What the configuration says of the queue that a job came through.
struct queue_settings {
    std::string name;
    std::string upstream;
    int priority = 0; // 0 comes first
    int max_attempts = 1;
    double stretch = 1; // the objective is stretch x longest chain of work + target
    common::milliseconds target{0};

    bool operator==(const queue_settings&) const = default;
};

struct job {
    std::string id;
    std::string payload; // opaque; every task's start carries it
    std::vector<step> steps;
    queue_settings queue;
    common::milliseconds patience{0}; // from now on, how long the caller waits
    common::milliseconds waited{0};   // at least so long ago the caller sent it first

    bool operator==(const job&) const = default;

    int tasks() const;
    // The sum of estimates along the longest path through the steps.
    common::milliseconds critical_path_length() const;
    // The latency from the first send within which the answer is on time.
    common::milliseconds objective() const;
    // Estimated processor time of all tasks, in milliseconds of a thousandth of a core.
    double cpu_demand() const;
};

enum class job_end {
    succeeded, // every task has ended well
    failed,    // a task failed as often as its queue allows
    not_run,   // no task has started or ever will
    given_up,  // some task may have run; none runs any more, or none will be kept running
};

std::string_view to_string(job_end end);

struct outcome {
    job_end end = job_end::not_run;
    std::string reason;                  // for logs and the caller, a few words
    common::milliseconds retry_after{0}; // when to come back, for not_run
    bool lacked_executors = false;       // of not_run: the dispatcher held none that takes work

    bool operator==(const outcome&) const = default;
};

} // namespace savorytrail::work
