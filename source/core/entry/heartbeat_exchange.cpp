// Converts slot offers and quota shares to and from the contents of heartbeats.
#include "core/entry/heartbeat_exchange.h"

#include <algorithm>
#include <cmath>

#include "absl/container/flat_hash_map.h"

namespace savorytrail::entry {
namespace {

// Every heartbeat within the own failure domain carries the idle slots, so older values are stale.
constexpr common::milliseconds idle_slots_max_age{3000};
// A heartbeat carries only some of the teams in turn, and other failure domains get heartbeats
// rarely, so values stay valid for longer.
constexpr common::milliseconds demand_max_age{60000};

membership::team_demand to_team_demand(const quota::team_share& it) {
    return {membership::name_number(it.team), static_cast<std::uint32_t>(std::lround(it.demand)),
            static_cast<std::uint32_t>(std::lround(it.share))};
}

} // namespace

heartbeat_exchange::heartbeat_exchange(const configuration::holder& configuration,
                                       const membership::view& view, loan::agent& loans,
                                       home::home& home, const common::clock& clock)
    : m_configuration(configuration), m_view(view), m_loans(loans), m_home(home), m_clock(clock),
      m_shares(view.self().name) {}

void heartbeat_exchange::refresh() {
    const auto current = m_configuration.current();
    if (!current)
        return;
    const auto now = m_clock.now();
    refresh_offers(current->value, now);
    refresh_quotas(current->value, now);
}

void heartbeat_exchange::add_to(membership::heartbeat& it) const {
    for (const auto& offer : m_loans.own_offers())
        it.idle.push_back({membership::name_number(offer.upstream), offer.idle_slots.value_or(0)});
    const std::lock_guard lock(m_mutex);
    it.demand = m_own_demand;
}

// Entries without a recent value are offered with an unknown number of idle slots; the loan agent
// learns it from replies to its requests.
void heartbeat_exchange::refresh_offers(const manifest::manifest& manifest,
                                        common::time_point now) {
    std::vector<loan::offer> offers;
    const auto peers = m_view.peers(now);
    for (const auto& upstream : manifest.upstreams) {
        absl::flat_hash_map<std::string, std::uint32_t> idle;
        for (const auto& it :
             m_view.idle(membership::name_number(upstream.name), idle_slots_max_age, now))
            idle[it.vm] = it.slots;
        for (const auto& peer : peers) {
            if (peer.state != membership::liveness::live)
                continue;
            loan::offer offer{peer.name, upstream.name, std::nullopt,
                              peer.failure_domain == m_view.self().failure_domain};
            if (const auto known = idle.find(peer.name); known != idle.end())
                offer.idle_slots = known->second;
            offers.push_back(offer);
        }
    }
    m_loans.set_offers(offers);
}

// Entries that are silent or were never heard from keep their reserved shares.
void heartbeat_exchange::refresh_quotas(const manifest::manifest& manifest,
                                        common::time_point now) {
    absl::flat_hash_map<std::uint32_t, std::string> teams;
    for (const auto& it : manifest.teams)
        teams[membership::name_number(it.name)] = it.name;
    absl::flat_hash_map<std::string, std::vector<quota::team_share>> demand;
    for (const auto& it : m_view.demand(demand_max_age, now)) {
        if (const auto team = teams.find(it.demand.team); team != teams.end())
            demand[it.vm].push_back({team->second, static_cast<double>(it.demand.tasks_per_second),
                                     static_cast<double>(it.demand.share)});
    }

    std::vector<std::string> names{m_view.self().name};
    const auto peers = m_view.peers(now);
    for (const auto& it : peers)
        names.push_back(it.name);
    m_shares.set_entries(names);
    for (const auto& it : peers) {
        if (it.state == membership::liveness::live && it.last_heard)
            m_shares.update_peer(it.name, demand[it.name], now);
    }

    std::vector<membership::team_demand> own_demand;
    for (const auto& it : m_shares.refresh(manifest.teams, m_home.quota(), now))
        own_demand.push_back(to_team_demand(it));
    const std::lock_guard lock(m_mutex);
    m_own_demand = std::move(own_demand);
}

} // namespace savorytrail::entry
