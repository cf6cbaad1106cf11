// Reconstructs what happened to one job from the logs of all entries: each attempt of its caller,
// the decisions of the entries, concurrent incidents at the entries and executors involved, the
// cause of its outcome, the dispatchers whose runs may have overlapped, and which log lines are
// missing.
#pragma once

#include "core/log_story/dispatch_story.h"

namespace savorytrail::log_story {

struct job_story {
    std::string job;
    std::vector<log_event> events;    // of the job, ordered by time
    std::vector<log_event> incidents; // of involved entries and executors, during the attempts
    std::vector<attempt> attempts;
    std::vector<dispatch> dispatches;    // ordered by their first starts
    std::vector<succession> successions; // of different dispatchers

    bool operator==(const job_story&) const = default;
};

// `log`: events of all entries, in any order.
job_story reconstruct_story(const std::string& job, const std::vector<log_event>& log);

} // namespace savorytrail::log_story
