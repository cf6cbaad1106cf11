// Reconstructs what happened to one job from the logs of all entries: each attempt of its caller,
// the decisions of the entries, concurrent incidents at the entries and executors involved, the
// cause of its outcome, and which log lines are missing.
#pragma once

#include "core/log_story/log_event.h"

namespace savorytrail::log_story {

// One submission of the job by its caller, from the entry's reading it to the answer.
struct attempt {
    std::string entry; // that read the job from the caller
    std::int64_t begin_us = 0;
    std::optional<std::int64_t> end_us; // when the answer was sent or the caller disconnected
    std::string outcome;                // as answered, or "abandoned"; empty if not logged
    std::string cause;                  // for operators
    std::vector<std::string> missing;   // information that the logs should have, but do not

    bool operator==(const attempt&) const = default;
};

struct job_story {
    std::string job;
    std::vector<log_event> events;    // of the job, ordered by time
    std::vector<log_event> incidents; // of involved entries and executors, during the attempts
    std::vector<attempt> attempts;

    bool operator==(const job_story&) const = default;
};

// `log`: events of all entries, in any order.
job_story reconstruct_story(const std::string& job, const std::vector<log_event>& log);

} // namespace savorytrail::log_story
