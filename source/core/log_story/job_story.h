// What the logs of all entries tell of one job: each time that its caller sent it, what was decided
// where, what else happened to the entries and executors involved, why it ended as it did, and what
// the logs do not tell.
#pragma once

#include "core/log_story/log_event.h"

namespace savorytrail::log_story {

// One time that a caller sent the job, from its being read to its answer.
struct attempt {
    std::string entry; // that read it
    std::int64_t begin_us = 0;
    std::optional<std::int64_t> end_us; // when the answer left, or the caller
    std::string outcome;                // as answered; "abandoned"; empty when nothing tells
    std::string cause;                  // in words
    std::vector<std::string> missing;   // what the logs should tell and don't

    bool operator==(const attempt&) const = default;
};

struct job_story {
    std::string job;
    std::vector<log_event> events;    // of the job, by time
    std::vector<log_event> incidents; // of entries and executors involved, meanwhile
    std::vector<attempt> attempts;

    bool operator==(const job_story&) const = default;
};

// `log`: lines of all entries, in any order.
job_story reconstruct_story(const std::string& job, const std::vector<log_event>& log);

} // namespace savorytrail::log_story
