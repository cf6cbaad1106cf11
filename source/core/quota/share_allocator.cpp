// Shares of the quotas.
#include "core/quota/share_allocator.h"

#include <algorithm>

namespace savorytrail::quota {
namespace {

constexpr common::milliseconds silence{3000};
// Part of a quota that is divided evenly whatever the demand, so that a team's first job at an
// entry finds a share.
constexpr double even_part = 0.2;

} // namespace

double own_share(double quota, const team_share& own, const std::vector<peer_share>& peers) {
    const double even = quota / static_cast<double>(peers.size() + 1);
    double reserved = 0; // for silent peers
    double in_use = 0;   // by all peers
    double demand = own.demand;
    double heard = 1;
    for (const auto& it : peers) {
        in_use += it.share.value_or(even);
        if (it.is_silent || !it.share) {
            reserved += it.share.value_or(even);
            continue;
        }
        demand += it.demand;
        heard++;
    }
    const double divided = std::max(0.0, quota - reserved);
    const double by_demand = demand > 0 ? own.demand / demand : 1 / heard;
    const double target = divided * (even_part / heard + (1 - even_part) * by_demand);
    const double unused = std::max(0.0, quota - in_use - own.share);
    return std::min(target, own.share + unused / static_cast<double>(peers.size() + 1));
}

void share_allocator::set_entries(const std::vector<std::string>& names) {
    const std::lock_guard lock(m_mutex);
    absl::flat_hash_map<std::string, peer> peers;
    for (const auto& it : names) {
        if (it != m_self)
            peers[it] = m_peers[it];
    }
    m_peers = std::move(peers);
}

void share_allocator::update_peer(const std::string& entry, const std::vector<team_share>& shares,
                                  common::time_point now) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(entry);
    if (found == m_peers.end())
        return;
    peer& it = found->second;
    it.heard_at = now;
    it.shares.clear();
    for (const auto& share : shares)
        it.shares[share.team] = share;
}

std::vector<team_share> share_allocator::refresh(const std::vector<manifest::team>& teams,
                                                 limiter& limits, common::time_point now) {
    const std::lock_guard lock(m_mutex);
    absl::flat_hash_map<std::string, double> asked;
    for (const auto& it : limits.demands(now))
        asked[it.team] = it.tasks_per_second;

    std::vector<team_share> shares;
    absl::flat_hash_map<std::string, team_share> own;
    for (const auto& it : teams) {
        if (it.max_tasks_per_second == 0)
            continue;
        team_share share{it.name, asked[it.name], m_own[it.name].share};
        share.share = own_share(it.max_tasks_per_second, share, view_of(it.name, now));
        limits.set_share(it.name, share.share, now);
        own[it.name] = share;
        shares.push_back(share);
    }
    for (const auto& [team, share] : m_own) {
        if (!own.contains(team))
            limits.remove_share(team);
    }
    m_own = std::move(own);
    return shares;
}

std::vector<peer_share> share_allocator::view_of(const std::string& team,
                                                 common::time_point now) const {
    std::vector<peer_share> view;
    for (const auto& [name, it] : m_peers) {
        peer_share known;
        known.is_silent = !it.heard_at || now - *it.heard_at > silence;
        const auto found = it.shares.find(team);
        if (found != it.shares.end()) {
            known.demand = found->second.demand;
            known.share = found->second.share;
        }
        view.push_back(known);
    }
    return view;
}

} // namespace savorytrail::quota
