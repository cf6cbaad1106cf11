// Division of a failure domain's executors among its live entries by rendezvous hashing. Entries
// that agree on who is live own disjoint sets; a short disagreement costs balance, never safety.
#pragma once

#include <string>
#include <vector>

#include "core/manifest/manifest.h"

namespace savorytrail::dispatch {

// The entry among `entries` that owns the executor; empty when there are none.
std::string owner_of(const std::string& executor, const std::vector<std::string>& entries);

// The executors that `self` owns. `entries` are the live entries of its failure domain, itself
// included.
std::vector<manifest::executor> owned_executors(const manifest::upstream& upstream,
                                                const std::string& failure_domain,
                                                const std::string& self,
                                                const std::vector<std::string>& entries);

} // namespace savorytrail::dispatch
