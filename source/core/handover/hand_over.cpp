// The order of a hand-over: estates, row, announcements.
#include "core/handover/hand_over.h"

#include <algorithm>
#include <tuple>

namespace savorytrail::handover {
namespace {

constexpr int attempts_per_candidate = 2;

std::optional<heir> find_taker(link& peers, const std::vector<platform::vm>& candidates,
                               const std::vector<estate>& estates) {
    for (const auto& it : candidates) {
        for (int attempt = 0; attempt < attempts_per_candidate; attempt++) {
            const auto taker = peers.hand_over(*it.address, estates);
            if (taker)
                return heir{it.name, *it.address, taker.value()};
            if (taker.error() == common::error::conflict)
                break;
        }
    }
    return std::nullopt;
}

} // namespace

std::vector<platform::vm> heir_candidates(const std::vector<platform::vm>& live_entries,
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

std::optional<heir> hand_over(link& peers, heirs& registry,
                              const std::vector<platform::vm>& candidates,
                              const std::vector<estate>& estates,
                              std::chrono::system_clock::time_point wall_time) {
    auto taker = find_taker(peers, candidates, estates);
    if (!taker)
        return std::nullopt;
    std::vector<heir_notice> notices;
    notices.reserve(estates.size());
    for (const auto& it : estates)
        notices.push_back({it.range.home, *taker, it.range.lifetime});
    // The row reaches entries that the announcements do not; either is enough.
    const auto published = registry.publish(notices, wall_time);
    if (!published && published.error() != common::error::unreachable)
        (void)registry.publish(notices, wall_time);
    for (const auto& it : candidates)
        (void)peers.announce(*it.address, notices);
    return taker;
}

} // namespace savorytrail::handover
