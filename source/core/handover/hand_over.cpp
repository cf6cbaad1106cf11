// Order of a hand-over: transfer the snapshots, write the row, announce to peers.
#include "core/handover/hand_over.h"

#include <algorithm>
#include <tuple>

namespace savorytrail::handover {
namespace {

constexpr int attempts_per_candidate = 2;

std::optional<successor_entry> transfer_snapshots(transport& peers,
                                                  const std::vector<platform::vm>& candidates,
                                                  const std::vector<home_snapshot>& snapshots) {
    for (const auto& it : candidates) {
        for (int attempt = 0; attempt < attempts_per_candidate; attempt++) {
            const auto successor = peers.hand_over(*it.address, snapshots);
            if (successor)
                return successor_entry{it.name, *it.address, successor.value()};
            if (successor.error() == common::error::conflict)
                break;
        }
    }
    return std::nullopt;
}

} // namespace

std::vector<platform::vm> successor_candidates(const std::vector<platform::vm>& live_entries,
                                               const std::string& self,
                                               const std::string& failure_domain) {
    std::vector<platform::vm> all;
    for (const auto& it : live_entries) {
        if (it.name != self && it.address && it.state == platform::vm_state::live)
            all.push_back(it);
    }
    const auto rank = [&](const platform::vm& it) {
        return std::make_tuple(it.failure_domain != failure_domain, it.name < self, it.name);
    };
    std::sort(all.begin(), all.end(),
              [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return all;
}

std::optional<successor_entry> hand_over(transport& peers, successor_registry& registry,
                                         const std::vector<platform::vm>& candidates,
                                         const std::vector<home_snapshot>& snapshots,
                                         std::chrono::system_clock::time_point wall_time) {
    auto successor = transfer_snapshots(peers, candidates, snapshots);
    if (!successor)
        return std::nullopt;
    std::vector<successor_notice> notices;
    notices.reserve(snapshots.size());
    for (const auto& it : snapshots)
        notices.push_back({it.credentials.home, *successor, it.credentials.lifetime});
    // Entries that miss the announcement find the row; either one is enough.
    const auto published = registry.publish(notices, wall_time);
    if (!published && published.error() != common::error::unreachable)
        (void)registry.publish(notices, wall_time);
    for (const auto& it : candidates)
        (void)peers.announce(*it.address, notices);
    return successor;
}

} // namespace savorytrail::handover
