// Which entries live, by their heartbeats, and what follows from it by rule, without any agreement:
// who dispatches in a failure domain and which executors each dispatcher holds. Views may differ
// for a while; then two entries may claim one executor, whose fence lets one of them win.
#pragma once

#include <map>
#include <set>

#include "core/common/endpoint.h"
#include "core/fleet/heartbeat.h"
#include "core/work/executor.h"

namespace savorytrail::fleet {

struct view_limits {
    common::milliseconds own_domain_interval{150}; // between heartbeats within the failure domain
    common::milliseconds other_domain_interval{400};
    common::milliseconds own_domain_timeout{600}; // after which an entry counts as lost
    common::milliseconds other_domain_timeout{1300};
    // The same for an entry to which a connection broke, where a reset alone proves nothing.
    common::milliseconds own_domain_timeout_disconnected{260};
    common::milliseconds other_domain_timeout_disconnected{800};
    // An introduced entry that was never heard gets a heartbeat only this often after a while.
    common::milliseconds silent_peer_interval{1000};
    // An entry listens this long before it claims anything: from its start, or from when it learnt
    // from the platform which entries there may be.
    common::milliseconds settle_time{700};
    common::milliseconds settle_time_after_listing{250};
    std::size_t executors_per_cell = 24;

    bool operator==(const view_limits&) const = default;
};

struct peer {
    std::string name;
    std::string failure_domain;
    common::endpoint address;
    heartbeat last_heartbeat; // meaningless until `last_heard` is set
    std::optional<common::time_point> last_heard;
    std::optional<common::time_point> last_sent;
    bool is_disconnected = false; // a connection to it broke since the last heartbeat
};

class view {
public:
    view(heartbeat self, std::uint16_t port, view_limits limits, common::time_point now);

    // Of another entry by the platform's table, the settings or a heartbeat. Name and domain may be
    // empty.
    void add_entry(const entry_info& it);
    // All entries that the platform knows have been introduced.
    void note_entries_listed(common::time_point now);
    // Whether the heartbeat is from a life that was not known.
    bool receive(const heartbeat& it, const std::string& host, common::time_point now);
    // A connection to the entry broke: it is lost unless it is heard soon.
    void note_connection_lost(const std::string& name);
    // This entry did not get to read what arrived for that long: silence then proves nothing.
    void note_stall(common::milliseconds duration, common::time_point now);

    // This entry's own heartbeat and the addresses that are due one now. `held` goes to near
    // entries only, `adopted` to all.
    struct outgoing {
        heartbeat content;
        std::vector<common::endpoint> recipients;
    };
    std::vector<outgoing> due_heartbeats(const heartbeat& own, common::time_point now);

    const peer* find(const std::string& name) const;
    // Failure domains with an entry that is live and stays, this entry's included.
    std::set<std::string> live_domains(common::time_point now) const;
    // Whether any entry of the domain is live, be it a leaving one.
    bool has_live_entry(const std::string& domain, common::time_point now) const;
    // Executors that live entries say they hold, as far as they tell this one.
    std::set<std::string> held_by_others(common::time_point now) const;
    bool is_live(const std::string& name, common::time_point now) const;
    // Names of entries that were live at the last call and are not now.
    std::vector<std::string> take_lost(common::time_point now);

    // Dispatchers of a failure domain, this entry included if it is one. `executors`: how many the
    // domain has.
    std::vector<std::string> dispatchers(const std::string& domain, std::size_t executor_count,
                                         common::time_point now) const;
    // Entries of other domains that report room.
    std::vector<const peer*> live_peers(common::time_point now) const;
    // The executors, out of those listed, that this entry is to hold. Those that a live entry holds
    // wait until it lets them go, unless this entry has them already (`held_here`).
    std::vector<work::executor_info> own_executors(const std::vector<work::executor_info>& listed,
                                                   const std::set<std::string>& held_here,
                                                   common::time_point now) const;
    bool has_settled(common::time_point now) const;
    // The newest configuration that a live entry has, and who.
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

    heartbeat m_self; // without what changes with every heartbeat
    const std::uint16_t m_port;
    const view_limits m_limits;
    const common::time_point m_started;
    common::time_point m_settled_at;
    std::map<std::string, peer> m_peers;        // by name
    std::set<std::string> m_unidentified_hosts; // hosts of which nothing else is known
    std::map<std::string, common::time_point> m_unidentified_sent;
    std::set<std::string> m_live_before;
    std::uint64_t m_sequence = 0;
};

} // namespace savorytrail::fleet
