// Tracks which entries are live by their heartbeats, and derives from this which entries dispatch
// in a failure domain and which executors each dispatcher holds. Each entry computes this on its
// own, without consensus, so views may differ for a while. If two entries then claim the same
// executor, the executor's fencing lets only one of them win.
#pragma once

#include <map>
#include <set>

#include "core/common/endpoint.h"
#include "core/fleet/heartbeat.h"
#include "core/work/executor.h"

namespace savorytrail::fleet {

struct view_limits {
    common::milliseconds own_domain_interval{150}; // between heartbeats
    common::milliseconds other_domain_interval{400};
    common::milliseconds own_domain_timeout{600}; // without a heartbeat, before an entry is lost
    common::milliseconds other_domain_timeout{1300};
    // Timeouts for an entry to which a connection was lost. The reset alone does not show that the
    // entry has failed.
    common::milliseconds own_domain_timeout_disconnected{260};
    common::milliseconds other_domain_timeout_disconnected{800};
    // Interval of heartbeats to an entry that has been silent for long or was never heard from.
    common::milliseconds silent_peer_interval{1000};
    // An entry listens for this long before it claims executors: from its start, or, if that ends
    // sooner, from when the platform has listed the entries.
    common::milliseconds settle_time{700};
    common::milliseconds settle_time_after_listing{250};
    std::size_t executors_per_cell = 24;

    bool operator==(const view_limits&) const = default;
};

struct peer {
    std::string name;
    std::string failure_domain;
    common::endpoint address;
    heartbeat last_heartbeat; // valid only when `last_heard` is set
    std::optional<common::time_point> last_heard;
    std::optional<common::time_point> last_sent;
    bool is_disconnected = false; // a connection to it was lost since the last heartbeat
};

class view {
public:
    view(heartbeat self, std::uint16_t port, view_limits limits, common::time_point now);

    // Adds an entry named in the platform's table, the settings or a heartbeat. Its name and
    // failure domain may be empty.
    void add_entry(const entry_info& it);
    // All entries of the platform's table have been added.
    void note_entries_listed(common::time_point now);
    // Returns whether the heartbeat is the first of a new incarnation.
    bool receive(const heartbeat& it, const std::string& host, common::time_point now);
    // A connection to the entry was lost: the shorter timeout applies until its next heartbeat.
    void note_connection_lost(const std::string& name);
    // This entry did not read incoming datagrams for `duration`; that time does not count as
    // silence of the others.
    void note_stall(common::milliseconds duration, common::time_point now);

    // Heartbeats to send now, and their recipients. Entries of the own failure domain get `held`;
    // all get `adopted`.
    struct outgoing {
        heartbeat content;
        std::vector<common::endpoint> recipients;
    };
    std::vector<outgoing> due_heartbeats(const heartbeat& own, common::time_point now);

    const peer* find(const std::string& name) const;
    // Failure domains with an entry that is live and not leaving, this entry included.
    std::set<std::string> live_domains(common::time_point now) const;
    // Whether any entry of the domain is live, leaving ones included.
    bool has_live_entry(const std::string& domain, common::time_point now) const;
    // Executors that live entries report as held, as far as this entry is told.
    std::set<std::string> held_by_others(common::time_point now) const;
    bool is_live(const std::string& name, common::time_point now) const;
    // Names of the entries that were live at the last call and no longer are.
    std::vector<std::string> take_lost(common::time_point now);

    // Dispatchers of a failure domain with this many executors, this entry included if it is one.
    std::vector<std::string> dispatchers(const std::string& domain, std::size_t executor_count,
                                         common::time_point now) const;
    // All live entries but this one.
    std::vector<const peer*> live_peers(common::time_point now) const;
    // The listed executors of the own failure domain that this entry should hold. Executors that
    // another live entry holds are left out until it releases them, unless this entry holds them
    // already (`held_here`).
    std::vector<work::executor_info> own_executors(const std::vector<work::executor_info>& listed,
                                                   const std::set<std::string>& held_here,
                                                   common::time_point now) const;
    bool has_settled(common::time_point now) const;
    // The newest configuration version among live entries, and an entry that has it.
    std::pair<std::uint64_t, const peer*> newest_configuration(common::time_point now) const;

    void set_leaving() { m_self.is_leaving = true; }
    void set_knows_executors() { m_self.knows_executors = true; }
    const heartbeat& self() const { return m_self; }

private:
    bool is_in_own_domain(const peer& it) const {
        return it.failure_domain == m_self.failure_domain;
    }
    bool is_live(const peer& it, common::time_point now) const;
    common::milliseconds timeout_of(const peer& it) const;

    heartbeat m_self; // without the fields that change with every heartbeat
    const std::uint16_t m_port;
    const view_limits m_limits;
    const common::time_point m_started;
    common::time_point m_settled_at;
    std::map<std::string, peer> m_peers;        // by name
    std::set<std::string> m_unidentified_hosts; // hosts of entries whose name is not known yet
    std::map<std::string, common::time_point> m_unidentified_sent;
    std::set<std::string> m_live_before;
    std::uint64_t m_sequence = 0;
};

} // namespace savorytrail::fleet
