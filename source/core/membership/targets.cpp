// The rotation goes through the other failure domains, one entry of each per cycle, and within each
// domain through its entries.
#include "core/membership/targets.h"

#include <algorithm>
#include <map>
#include <string>

namespace savorytrail::membership {
namespace {

// This entry's index among the entries of its failure domain.
std::size_t index_in_domain(const node& self, const std::vector<peer_status>& peers) {
    return static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [&](const auto& it) {
        return it.failure_domain == self.failure_domain && it.name < self.name;
    }));
}

} // namespace

std::vector<peer_status> heartbeat_targets(const node& self, const std::vector<peer_status>& peers,
                                           std::uint64_t round) {
    std::vector<peer_status> targets;
    std::map<std::string, std::vector<const peer_status*>> others;
    for (const auto& it : peers) {
        if (it.failure_domain == self.failure_domain)
            targets.push_back(it);
        else
            others[it.failure_domain].push_back(&it);
    }
    if (others.empty())
        return targets;

    std::vector<const std::vector<const peer_status*>*> domains;
    domains.reserve(others.size());
    for (const auto& [name, entries] : others)
        domains.push_back(&entries);
    const auto self_index = index_in_domain(self, peers);
    const auto n = std::min(other_domain_targets, domains.size());
    const auto first = (round + self_index) * n;
    for (std::size_t i = 0; i < n; i++) {
        const auto position = first + i;
        const auto& entries = *domains[position % domains.size()];
        targets.push_back(*entries[(position / domains.size() + self_index) % entries.size()]);
    }
    return targets;
}

} // namespace savorytrail::membership
