// Chooses the entries that this entry keeps a link to. Load pattern: a fleet of hundreds at rest,
// where links between all entries would cost each of them more with every entry that is added.
//  - The dispatchers of a failure domain, and the entries next in line, are linked closely: they
//    take over each other's executors.
//  - Every other entry is linked to a few dispatchers of its domain, which pass on the news.
//  - A dispatcher is linked to a few dispatchers of each other domain.
//  - Entries with jobs at each other are linked for as long.
//  - While it starts, an entry is linked to all entries of its domain.
#pragma once

#include "core/fleet/view.h"

namespace savorytrail::fleet {

struct link_choice_limits {
    std::size_t standby_entries = 2; // next in line for the place of a dispatcher
    std::size_t links_to_domain = 3; // of an entry that is neither
    std::size_t links_to_others = 2; // of a dispatcher, to each other domain
    common::milliseconds start_time{2000};

    bool operator==(const link_choice_limits&) const = default;
};

// Sets which links this entry wants. `holds_executors`: of its own domain, even if it is no longer
// a dispatcher; those who are to hold them wait until it lets them go.
void choose_links(view& fleet, const link_choice_limits& by, bool holds_executors,
                  common::time_point now);

// Whether this entry dispatches, or is next in line, in its domain.
bool is_acting(const view& fleet, const link_choice_limits& by, common::time_point now);

// Whether this entry passes on news of other entries.
bool is_relay(const view& fleet, common::time_point now);

// The entries of a domain that pass on news: its dispatchers, as far as they are known.
ranking relays(const view& fleet, const std::string& domain, common::time_point now);

} // namespace savorytrail::fleet
