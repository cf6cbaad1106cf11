// Finds in the log which dispatchers worked on a job, when each side of an attempt learnt that it
// was over, and whether runs of two dispatchers may have overlapped. Within a cell, runs of a task
// can't overlap; between cells, only the end of one attempt before the next one keeps them apart.
#pragma once

#include "core/log_story/attempt.h"
#include "core/log_story/log_event.h"

namespace savorytrail::log_story {

// What the log tells of one moment.
struct finding {
    std::optional<std::int64_t> at_us; // empty if no line tells of it
    std::string how;

    bool operator==(const finding&) const = default;
};

// What one dispatcher did with the job, from its arrival there to the end of its last run.
struct dispatch {
    std::string dispatcher;
    std::string entry;       // that held the caller; empty if that is not logged
    std::size_t attempt = 0; // its position among the attempts, from 1; 0 if that is not logged
    std::int64_t begin_us = 0;
    std::optional<std::int64_t> first_start_us;
    finding entry_learnt;      // that the attempt was over
    finding dispatcher_learnt; // the same
    finding runs_over;         // from then on no run of this dispatcher was left
    std::vector<std::string> missing;

    bool operator==(const dispatch&) const = default;
};

// Two dispatchers that both worked on the job.
struct succession {
    std::string first;
    std::string second;
    // From the end of the last run at the first to the first start at the second; negative if they
    // may have overlapped; empty if the logs do not tell.
    std::optional<std::int64_t> gap_us;
    std::string verdict;
    std::vector<std::string> missing; // what the logs lack to be sure

    bool operator==(const succession&) const = default;
};

// `events` are those of the job, ordered by time; `incidents` those of the entries involved. The
// result is ordered by the first starts.
std::vector<dispatch> find_dispatches(const std::vector<log_event>& events,
                                      const std::vector<log_event>& incidents,
                                      const std::vector<attempt>& attempts);
std::vector<succession> find_successions(const std::vector<dispatch>& dispatches,
                                         const std::vector<log_event>& incidents);

} // namespace savorytrail::log_story
