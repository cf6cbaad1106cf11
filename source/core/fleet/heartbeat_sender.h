// Decides which heartbeats are due: one for each link at its interval, and now and then one to an
// entry that is lost or was never heard, so that the sides of a healed network partition find each
// other again. Not thread-safe.
#pragma once

#include "core/fleet/link_choice.h"
#include "core/fleet/view.h"

namespace savorytrail::fleet {

struct sender_limits {
    link_choice_limits links;
    common::milliseconds link_choice_interval{100};
    common::milliseconds probe_interval{250};
    std::size_t lost_entries_per_probe = 16; // one more probe at a time for so many lost entries
    common::milliseconds unidentified_host_interval{400};

    bool operator==(const sender_limits&) const = default;
};

class heartbeat_sender {
public:
    explicit heartbeat_sender(view& fleet, sender_limits limits = {})
        : m_fleet(fleet), m_limits(limits) {}

    struct outgoing {
        common::endpoint to;
        std::string recipient; // name; empty when it is not known
        bool uses_previous_format = false;
        heartbeat content;
    };

    // The heartbeats to send now; to be called about every 50 ms. `held`: keys of the executors of
    // its own domain that this entry holds.
    std::vector<outgoing> due(const std::vector<std::uint64_t>& held, common::time_point now);
    // Entries were added that may need links.
    void on_entries_listed() { m_links_chosen.reset(); }

private:
    void choose_links_if_due(bool holds_executors, common::time_point now);
    std::vector<std::string> due_recipients(common::time_point now);
    bool is_worth_a_probe(const peer& it, const std::set<std::string>& live_domains,
                          common::time_point now) const;
    void add_due_probes(std::vector<std::string>& recipients, common::time_point now);
    std::vector<common::endpoint> due_unidentified_hosts(common::time_point now);
    heartbeat make_common_part();
    // Fills in what only this recipient is told.
    void address_to(const peer& recipient, heartbeat& it, common::time_point now) const;
    common::milliseconds interval_of(link_kind kind) const;

    view& m_fleet;
    const sender_limits m_limits;
    std::optional<common::time_point> m_links_chosen;
    std::optional<common::time_point> m_probed;
    std::string m_last_probed; // name
    std::map<std::string, common::time_point> m_hosts_sent;
};

} // namespace savorytrail::fleet
