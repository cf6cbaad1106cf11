// Chooses which of the executors that a cell releases it keeps for a while: jobs that have begun
// can't be moved to the cell that gets the executors, as their tasks could then run twice.
#pragma once

#include <list>
#include <set>
#include <string>

#include "core/cell/executor_record.h"
#include "core/cell/job_record.h"

namespace savorytrail::cell {

// The ids of as few retiring executors as have room for all tasks of begun jobs that have yet to
// start, but for the tasks that an executor which is not retiring can run. Those with runs are
// preferred, as they can't be released yet.
std::set<std::string> executors_for_begun_jobs(const std::list<job_record>& jobs,
                                               const executor_map& executors);

} // namespace savorytrail::cell
