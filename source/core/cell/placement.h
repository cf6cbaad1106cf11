// Which executor gets a task. Best fit: the one that is left with the least room, so that large
// tasks find room elsewhere; before that, the rack of the task's data.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/cell/executor_record.h"
#include "core/work/job.h"

namespace savorytrail::cell {

struct placement_request {
    const work::step* step = nullptr;
    const std::string* upstream = nullptr;
    const std::string* avoid = nullptr; // used only when no other has room
    std::function<int(const std::string& executor)>
        tasks_on_executor; // tasks of the step, for its limit
};

// The executor's id, or nullptr when none has room now.
const std::string* place(const placement_request& request,
                         const std::map<std::string, std::unique_ptr<executor_record>>& executors,
                         common::time_point now);

} // namespace savorytrail::cell
