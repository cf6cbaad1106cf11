// Determines which entry of a failure domain reads the platform, and how often. Performs no I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/common/clock.h"

namespace savorytrail::propagation {

struct reader_candidate {
    std::string name;
    bool platform_reachable = true; // whether its last read succeeded; true before the first

    bool operator==(const reader_candidate&) const = default;
};

// The interval between this entry's reads; nullopt if another entry reads. `candidates` are the
// live entries of the failure domain, including this one. The reader is chosen by rendezvous
// hashing among the entries that reach the platform. Entries that do not reach it keep trying, at a
// rate that limits all of them together to one read per `poll`, so that a domain reads at most
// twice per `poll`.
std::optional<common::milliseconds> read_period(const std::string& failure_domain,
                                                const std::string& self,
                                                const std::vector<reader_candidate>& candidates,
                                                common::milliseconds poll);

} // namespace savorytrail::propagation
