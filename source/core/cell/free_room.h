// Counts how many tasks the executors of a cell have room for now, with the tasks' real resources.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/cell/executor_record.h"
#include "core/cell/job_record.h"

namespace savorytrail::cell {

// The free resources of the executors that accept work. Tasks are counted off one after another, so
// that no resource is counted for two of them.
class free_room {
public:
    free_room(const executor_map& executors, common::time_point now);

    // Takes room for up to `tasks` tasks of the step; returns for how many there was any.
    int take(const work::step& step, const std::string& upstream, int tasks);

private:
    struct free_executor {
        const work::executor_info* info = nullptr;
        work::resources free;
        int max_starts = 0;
    };

    // A task for which there was no room left; there is none for a greater one either.
    struct full_for {
        work::resources task;
        std::string upstream;
    };

    std::vector<free_executor> m_executors;
    std::optional<full_for> m_full_for; // the latest
};

// Room for the tasks of a job that depend on no others.
struct job_room {
    int tasks = 0;
    int fitting = 0; // of them, while the waiting jobs take nothing
    // All fit even after the waiting jobs have taken what they can use.
    bool is_unclaimed = false;

    bool operator==(const job_room&) const = default;
};

job_room room_for(const job_record& candidate, const std::list<job_record>& jobs,
                  const executor_map& executors, common::time_point now);

// Whether each task of the job fits into an executor that the cell has or is claiming, once it is
// idle and healthy. A job that has not begun gets none in a drained failure domain.
bool has_fitting_executors(const work::job& job, const executor_map& executors);

} // namespace savorytrail::cell
