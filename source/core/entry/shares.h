// Determines which executors an entry may use: those it owns in its failure domain, except those
// whose VM takes no new work. Executors of an orphaned failure domain, which has lost all its
// entries, are divided among the live entries of the whole region.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/dispatch/types.h"
#include "core/manifest/manifest.h"
#include "core/membership/directory.h"
#include "core/membership/view.h"

namespace savorytrail::entry {

// Inputs of the computation of shares. Equal inputs give equal shares, so shares are recomputed
// only after a change.
struct share_inputs {
    std::uint64_t configuration_version = 0;
    std::uint64_t list_revision = 0;
    // Maps a failure domain to the entries among which its executors are divided. Has the own
    // domain and the orphaned domains of the region.
    std::map<std::string, std::vector<std::string>> entries;

    bool operator==(const share_inputs&) const = default;
};

share_inputs collect_share_inputs(const manifest::versioned_manifest& manifest,
                                  const membership::directory& directory,
                                  const membership::view& view, common::time_point now);

std::vector<dispatch::executor_share> compute_own_shares(const manifest::upstream& upstream,
                                                         const share_inputs& inputs,
                                                         const membership::node& self,
                                                         const membership::directory& directory);

} // namespace savorytrail::entry
