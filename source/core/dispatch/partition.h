// Partitions a failure domain's executors among its live entries by rendezvous hashing with bounded
// load: an entry gets at most its even share of the slots, rounded up to whole executors. Entries
// that agree on the live set own disjoint executors; a short disagreement can unbalance the load,
// but does not affect safety.
#pragma once

#include <string>
#include <vector>

#include "core/manifest/manifest.h"

namespace savorytrail::dispatch {

// The executors of the failure domain that `self` owns. `entries` are the live entries of the
// domain, including `self`.
std::vector<manifest::executor> owned_executors(const manifest::upstream& upstream,
                                                const std::string& failure_domain,
                                                const std::string& self,
                                                const std::vector<std::string>& entries);

} // namespace savorytrail::dispatch
