// Whom an entry sends its heartbeats to: every entry of its failure domain in each round, and a few
// of the others in turn. Entries start at different places in the turn, so that each other failure
// domain hears of news within about a round.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/membership/view.h"

namespace savorytrail::membership {

constexpr std::size_t other_domain_targets = 2; // in each round

// `peers` are all listed entries but `self`, ordered by name; rounds are counted up from 0.
std::vector<peer_status> heartbeat_targets(const node& self, const std::vector<peer_status>& peers,
                                           std::uint64_t round);

} // namespace savorytrail::membership
