// Which executors an entry may use: those it owns in its failure domain, less those whose VM takes
// no new work. Executors of a failure domain that has lost all its entries are divided among the
// live entries of the whole region.
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

// What the shares follow from. Equal bases give equal shares, so that they are worked out only
// after a change.
struct share_basis {
    std::uint64_t configuration_version = 0;
    std::uint64_t list_revision = 0;
    // The entries among which the executors of a failure domain are divided: of the own one, and of
    // those in the region that are orphaned.
    std::map<std::string, std::vector<std::string>> entries;

    bool operator==(const share_basis&) const = default;
};

share_basis make_share_basis(const manifest::versioned_manifest& manifest,
                             const membership::directory& directory, const membership::view& view,
                             common::time_point now);

std::vector<dispatch::executor_share> own_shares(const manifest::upstream& upstream,
                                                 const share_basis& basis,
                                                 const membership::node& self,
                                                 const membership::directory& directory);

} // namespace savorytrail::entry
