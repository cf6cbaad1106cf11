// Which entry of a failure domain reads the platform, and how often. Sans I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/common/clock.h"

namespace savorytrail::propagation {

struct reader_candidate {
    std::string name;
    bool platform_reachable = true; // its last read succeeded, or it has not read yet

    bool operator==(const reader_candidate&) const = default;
};

// The time between this entry's reads; nullopt when another entry reads. `candidates` are the live
// entries of the failure domain, this one included. The one reader is chosen by rendezvous hashing
// among those that reach the platform. An entry that does not reach it goes on trying at a rate
// that keeps all such entries together at one read in each `poll`, so that a domain never reads
// more than twice in each `poll`.
std::optional<common::milliseconds> read_period(const std::string& failure_domain,
                                                const std::string& self,
                                                const std::vector<reader_candidate>& candidates,
                                                common::milliseconds poll);

} // namespace savorytrail::propagation
