// Receives the home's decisions, for metrics and for the event log of each job. Called from any
// thread, with no lock of the core held.
#pragma once

#include <string>

#include "core/job/job.h"
#include "core/submission/submission_id.h"

namespace savorytrail::home {

struct outgoing_task;
struct task_outcome;

// The default implementation ignores all events.
class observer {
public:
    virtual ~observer() = default;

    virtual void opened(const submission::submission_id& /*id*/, const job::job& /*body*/) {}
    virtual void resubmitted(const submission::submission_id& /*id*/) {}
    // The submission was not recorded for lack of memory: it was neither admitted nor refused.
    virtual void not_recorded(const submission::submission_id& /*id*/,
                              const job::answer& /*answer*/) {}
    virtual void admitted(const submission::submission_id& /*id*/) {}
    virtual void task_sent(const outgoing_task& /*task*/) {}
    virtual void task_ended(const outgoing_task& /*task*/, const task_outcome& /*outcome*/) {}
    // Called once for each submission that was opened.
    virtual void answered(const submission::submission_id& /*id*/, const job::answer& /*answer*/) {}

    observer() = default;
    observer(const observer&) = delete;
    observer& operator=(const observer&) = delete;
};

} // namespace savorytrail::home
