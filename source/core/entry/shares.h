// Which executors an entry may use: those it owns in its failure domain, less those whose VM takes
// no new work.
#pragma once

#include <string>
#include <vector>

#include "core/dispatch/types.h"
#include "core/manifest/manifest.h"
#include "core/membership/directory.h"

namespace savorytrail::entry {

std::vector<dispatch::executor_share> own_shares(const manifest::upstream& upstream,
                                                 const std::string& failure_domain,
                                                 const std::string& self,
                                                 const membership::directory& directory);

} // namespace savorytrail::entry
