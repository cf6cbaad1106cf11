// Division of a failure domain's executors among its live entries by rendezvous hashing with
// bounded load: an entry gets at most its even part of the slots, rounded up to whole executors.
// Entries that agree on who is live own disjoint sets; a short disagreement costs balance, never
// safety.
#pragma once

#include <string>
#include <vector>

#include "core/manifest/manifest.h"

namespace savorytrail::dispatch {

// The executors of the failure domain that `self` owns. `entries` are the live entries of the
// domain, itself included.
std::vector<manifest::executor> owned_executors(const manifest::upstream& upstream,
                                                const std::string& failure_domain,
                                                const std::string& self,
                                                const std::vector<std::string>& entries);

} // namespace savorytrail::dispatch
