// Computation of quota shares.
#include "core/quota/share_allocator.h"

#include <algorithm>

namespace savorytrail::quota {
namespace {

constexpr common::milliseconds silent_after{3000};
// Fraction of a quota that is divided evenly regardless of demand, so that the first job of a
// team at an entry finds a share.
constexpr double even_fraction = 0.2;

} // namespace

double own_share(double quota, const team_share& own, const std::vector<peer_share>& peers) {
    const double even_share = quota / static_cast<double>(peers.size() + 1);
    double reserved = 0; // for silent peers
    double in_use = 0;   // by all peers
    double total_demand = own.demand;
    double reporting_entries = 1;
    for (const auto& it : peers) {
        in_use += it.share.value_or(even_share);
        if (it.is_silent || !it.share) {
            reserved += it.share.value_or(even_share);
            continue;
        }
        total_demand += it.demand;
        reporting_entries++;
    }
    const double available = std::max(0.0, quota - reserved);
    const double by_demand = total_demand > 0 ? own.demand / total_demand : 1 / reporting_entries;
    const double target =
        available * (even_fraction / reporting_entries + (1 - even_fraction) * by_demand);
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
    it.last_report_at = now;
    it.shares.clear();
    for (const auto& share : shares)
        it.shares[share.team] = share;
}

std::vector<team_share> share_allocator::refresh(const std::vector<manifest::team>& teams,
                                                 limiter& limits, common::time_point now) {
    const std::lock_guard lock(m_mutex);
    absl::flat_hash_map<std::string, double> demand_of;
    for (const auto& it : limits.demands(now))
        demand_of[it.team] = it.tasks_per_second;

    std::vector<team_share> shares;
    absl::flat_hash_map<std::string, team_share> own;
    for (const auto& it : teams) {
        if (it.max_tasks_per_second == 0)
            continue;
        team_share share{it.name, demand_of[it.name], m_own[it.name].share};
        share.share = own_share(it.max_tasks_per_second, share, peer_shares_of(it.name, now));
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

std::vector<peer_share> share_allocator::peer_shares_of(const std::string& team,
                                                        common::time_point now) const {
    std::vector<peer_share> reports;
    for (const auto& [name, it] : m_peers) {
        peer_share report;
        report.is_silent = !it.last_report_at || now - *it.last_report_at > silent_after;
        const auto found = it.shares.find(team);
        if (found != it.shares.end()) {
            report.demand = found->second.demand;
            report.share = found->second.share;
        }
        reports.push_back(report);
    }
    return reports;
}

} // namespace savorytrail::quota
