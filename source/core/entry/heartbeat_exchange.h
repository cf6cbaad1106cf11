// Exchange of slot and quota information between entries: this entry's heartbeats carry its idle
// slots and quota shares, and those received from peers determine its loans and shares.
#pragma once

#include <mutex>
#include <vector>

#include "core/common/clock.h"
#include "core/configuration/holder.h"
#include "core/home/home.h"
#include "core/loan/agent.h"
#include "core/membership/view.h"
#include "core/quota/share_allocator.h"

namespace savorytrail::entry {

class heartbeat_exchange {
public:
    heartbeat_exchange(const configuration::holder& configuration, const membership::view& view,
                       loan::agent& loans, home::home& home, const common::clock& clock);
    heartbeat_exchange(const heartbeat_exchange&) = delete;
    heartbeat_exchange& operator=(const heartbeat_exchange&) = delete;

    // Applies the information received in heartbeats to the loans and quota shares.
    void refresh();

    // Adds this entry's idle slots and quota shares to an outgoing heartbeat.
    void add_to(membership::heartbeat& it) const;

private:
    void refresh_offers(const manifest::manifest& manifest, common::time_point now);
    void refresh_quotas(const manifest::manifest& manifest, common::time_point now);

    const configuration::holder& m_configuration;
    const membership::view& m_view;
    loan::agent& m_loans;
    home::home& m_home;
    const common::clock& m_clock;
    quota::share_allocator m_shares;
    mutable std::mutex m_mutex;
    std::vector<membership::team_demand> m_own_demand; // guarded by m_mutex
};

} // namespace savorytrail::entry
