// Runs of closed jobs that have been told to stop and have not ended yet. Until they end, their
// tasks must not be started again.
#pragma once

#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "core/cell/run_outcome.h"

namespace savorytrail::cell {

// What became of a closed job's open runs, once all of them have ended.
struct stopped_job {
    common::milliseconds took{0}; // since the job was closed
    int stopped = 0;              // runs that ended otherwise than by themselves
    int done = 0;                 // runs that ended by themselves

    bool operator==(const stopped_job&) const = default;
};

class stopping_runs {
public:
    void add(const work::task_id& task, common::time_point now);
    bool contains(const work::task_id& task) const { return m_runs.contains(task); }
    // Requires contains(task). Returns the summary of the job when this was its last such run.
    std::optional<stopped_job> remove(const work::task_id& task, run_result result,
                                      common::time_point now);

private:
    struct job_state {
        common::time_point closed_at; // the first time, if it was sent again and closed again
        int runs = 0;                 // that have not ended yet
        int stopped = 0;
        int done = 0;
    };

    absl::flat_hash_map<work::task_id, int> m_runs;     // number of runs, by task
    absl::flat_hash_map<std::string, job_state> m_jobs; // that have such runs, by id
};

} // namespace savorytrail::cell
