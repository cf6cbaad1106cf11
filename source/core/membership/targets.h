// Selects the recipients of an entry's heartbeats: in each round, every entry of its failure domain
// and a few entries of other domains in rotation. Entries start at different positions of the
// rotation, so that a change reaches each other failure domain within about one round.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/membership/view.h"

namespace savorytrail::membership {

constexpr std::size_t other_domain_targets = 2; // in each round

// `peers`: all listed entries except `self`, ordered by name. `round` counts up from 0.
std::vector<peer_status> heartbeat_targets(const node& self, const std::vector<peer_status>& peers,
                                           std::uint64_t round);

} // namespace savorytrail::membership
