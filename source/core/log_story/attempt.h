// One sending of a job by its caller, as the log of the entry that read it tells.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

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

} // namespace savorytrail::log_story
