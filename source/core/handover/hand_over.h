// The hand-over of a planned stop: finds an heir, then makes it known.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/handover/successor_registry.h"
#include "core/handover/transport.h"
#include "core/platform/platform.h"

namespace savorytrail::handover {

// Possible heirs in the order in which they are asked: live entries with an address, those of the
// failure domain first, each domain from the VM's successor in the order of names.
std::vector<platform::vm> successor_candidates(const std::vector<platform::vm>& live_entries,
                                               const std::string& self,
                                               const std::string& failure_domain);

// Hands the estates of a closed home over to the first candidate that takes them, and announces it
// to all candidates and in the table. An attempt whose acknowledgement was lost is repeated, then
// the next candidate is asked: several entries may then hold the same final answers, and since
// none of them starts anything, which is announced makes no difference.
std::optional<successor_entry> hand_over(transport& peers, successor_registry& registry,
                                         const std::vector<platform::vm>& candidates,
                                         const std::vector<home_snapshot>& snapshots,
                                         std::chrono::system_clock::time_point wall_time);

} // namespace savorytrail::handover
