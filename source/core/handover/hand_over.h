// Hand-over at a planned stop: transfers the submissions to a successor and announces it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/handover/successor_registry.h"
#include "core/handover/transport.h"
#include "core/platform/platform.h"

namespace savorytrail::handover {

// Possible successors in the order in which they are tried: live entries with an address, those of
// the own failure domain first. Entries of the own and of other domains are each ordered by name,
// starting after `self` and wrapping around.
std::vector<platform::vm> successor_candidates(const std::vector<platform::vm>& live_entries,
                                               const std::string& self,
                                               const std::string& failure_domain);

// Transfers the snapshots of a closed home to the first candidate that accepts them, then announces
// that candidate to all candidates and in the table. A transfer without an acknowledgement is
// retried, then the next candidate is tried. Several entries may then hold the same final answers;
// since none of them starts tasks, it does not matter which one is announced.
std::optional<successor_entry> hand_over(transport& peers, successor_registry& registry,
                                         const std::vector<platform::vm>& candidates,
                                         const std::vector<home_snapshot>& snapshots,
                                         std::chrono::system_clock::time_point wall_time);

} // namespace savorytrail::handover
