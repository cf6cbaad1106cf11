// Tracks which entries are live, and derives from this which of them dispatch in a failure domain.
// Each entry computes this on its own, without consensus, so views may differ for a while. If two
// entries then claim the same executor, the executor's fencing lets only one of them win.
//
// Entries that depend on each other exchange heartbeats over a link (link_choice.h), and judge each
// other by these alone. Of the others an entry learns by the news in those heartbeats
// (news_selection.h), later but at a cost that does not grow with the fleet.
#pragma once

#include <map>
#include <set>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "core/common/endpoint.h"
#include "core/fleet/heartbeat.h"
#include "core/fleet/link_limits.h"
#include "core/fleet/previous_heartbeat.h"

namespace savorytrail::fleet {

struct view_limits {
    link_limits close_link{common::milliseconds(150), common::milliseconds(600),
                           common::milliseconds(260)};
    link_limits loose_link{common::milliseconds(400), common::milliseconds(1300),
                           common::milliseconds(800)};
    // Time without news after which an entry without a link is lost. News of an entry come round
    // the later, the more entries there are news of.
    common::milliseconds min_news_timeout{2000};
    common::milliseconds news_timeout_per_entry{20};
    // How long a request for heartbeats holds without being repeated.
    common::milliseconds request_validity{1500};
    // How long a link is kept after the last job that needed it.
    common::milliseconds use_validity{2000};
    // An entry that is lost for longer and that the platform does not list is forgotten.
    common::milliseconds forget_after{60000};
    // An entry listens for this long before it claims executors: from its start, or, if that ends
    // sooner, from when the platform has listed the entries.
    common::milliseconds settle_time{700};
    common::milliseconds settle_time_after_listing{100};
    std::size_t executors_per_cell = 24;

    bool operator==(const view_limits&) const = default;
};

struct peer {
    entry_identity identity;
    entry_status status;             // the newest that is known
    std::vector<std::uint64_t> held; // by its last heartbeat over a link
    common::endpoint address;
    std::uint64_t key = 0; // of its incarnation; 0 while that is not known
    // Its incarnation was learnt, or it became a dispatcher: others may not know it yet.
    common::time_point new_since;
    std::optional<common::time_point> last_heard; // its last heartbeat over a link
    std::uint64_t last_heard_sequence = 0;
    std::optional<common::time_point> last_sign;          // its last sign of life, also by news
    std::optional<common::milliseconds> heard_this_entry; // as it told in its last heartbeat
    bool uses_previous_format = false;
    bool is_disconnected = false; // a connection to it was lost since its last heartbeat
    // Its heartbeats stayed out although there was a link: news do not show that it can be reached.
    bool needs_heartbeat = false;
    bool was_live = false; // at the last refresh
    link_state link;
};

// The entries of a failure domain that may dispatch, the first ones doing so.
using ranking = std::vector<const peer*>; // nullptr stands for this entry

class view {
public:
    view(entry_identity self, std::uint16_t port, view_limits limits, common::time_point now);

    // Adds an entry named in the platform's table or the settings. Its name and failure domain may
    // be empty.
    void add_entry(const entry_info& it);
    // All entries of the platform's table have been added.
    void note_entries_listed(common::time_point now);

    // Names of entries of which something new was learnt.
    struct learnt {
        std::vector<std::string> seen; // new incarnations
        // Those among them whose earlier incarnation was not lost yet: it is now, and refresh()
        // does not return it.
        std::vector<std::string> restarted;
        std::vector<std::string> updated;

        bool operator==(const learnt&) const = default;
    };
    learnt receive(const heartbeat& it, const std::string& host, common::time_point now);
    learnt receive(const previous_heartbeat& it, const std::string& host, common::time_point now);
    // A connection to the entry was lost: the shorter timeout applies until its next heartbeat.
    void note_connection_lost(const std::string& name);
    // This entry did not read incoming datagrams for `duration`; that time does not count as
    // silence of the others.
    void note_stall(common::milliseconds duration, common::time_point now);
    // Jobs of one of the two entries are at the other: they are linked for a while.
    void note_in_use(const std::string& name, common::time_point now);

    // Names of the entries that were live at the last call and no longer are, but for those that
    // this entry had no link to any more and gets no news of.
    std::vector<std::string> refresh(common::time_point now);

    const peer* find(const std::string& name) const;
    bool is_live(const std::string& name, common::time_point now) const;
    bool is_live(const peer& it, common::time_point now) const;
    // Whether the entry's heartbeats arrive, but do not show that it hears this one.
    bool is_deaf(const peer& it, common::time_point now) const;
    // All live entries but this one.
    std::vector<const peer*> live_peers(common::time_point now) const;
    // Failure domains with an entry that is live and not leaving, this entry included.
    const std::set<std::string>& live_domains(common::time_point now) const;
    // Whether any entry of the domain is live, leaving ones included.
    bool has_live_entry(const std::string& domain, common::time_point now) const;
    // Keys of the executors that live entries report as held, as far as this entry is told.
    absl::flat_hash_set<std::uint64_t> held_by_others(common::time_point now) const;
    // Changes whenever held_by_others() may have changed.
    std::uint64_t holdings_version() const { return m_holdings_version; }

    // The live entries of a failure domain that are not leaving, in the order in which they take
    // the place of a dispatcher; this entry included.
    const ranking& ranked(const std::string& domain, common::time_point now) const;
    std::size_t cell_count(std::size_t executor_count) const;
    // Names of the dispatchers of a failure domain with this many executors.
    std::vector<std::string> dispatchers(const std::string& domain, std::size_t executor_count,
                                         common::time_point now) const;
    // The number of executors in this entry's domain, by the newest list of its entries.
    std::size_t domain_executors(common::time_point now) const;
    bool has_settled(common::time_point now) const;
    // Live entries with a configuration, or a list of executors, newer than this version.
    std::vector<const peer*> with_newer_configuration(std::uint64_t version,
                                                      common::time_point now) const;
    std::vector<const peer*> with_newer_executor_list(std::uint64_t version,
                                                      common::time_point now) const;

    void set_leaving();
    // What this entry tells of itself, but for `sequence` and `is_leaving`.
    void set_status(entry_status it);
    // What this entry shares beside its status.
    void set_shared(shared_state it) { m_shared = std::move(it); }
    const shared_state& shared() const { return m_shared; }
    const entry_identity& self() const { return m_self; }
    std::uint64_t self_key() const { return m_self_key; }
    const entry_status& status() const { return m_status; }
    const view_limits& limits() const { return m_limits; }
    common::time_point started() const { return m_started; }

    // For the module that sends heartbeats.
    std::map<std::string, peer>& peers() { return m_peers; }
    const std::map<std::string, peer>& peers() const { return m_peers; }
    const std::set<std::string>& unidentified_hosts() const { return m_unidentified_hosts; }
    std::uint16_t port() const { return m_port; }
    // Jobs of one of the two entries are at the other, or were a moment ago.
    static bool is_in_use(const peer& it, common::time_point now) {
        return it.link.in_use_until && now < *it.link.in_use_until;
    }
    // The link that such jobs need.
    link_kind link_in_use(const peer& it) const {
        return is_in_own_domain(it) ? link_kind::close : link_kind::loose;
    }
    bool is_in_own_domain(const peer& it) const {
        return it.identity.failure_domain == m_self.failure_domain;
    }
    void set_wanted(peer& it, link_kind kind, common::time_point now);
    std::uint64_t next_sequence() { return ++m_status.sequence; }

private:
    // Derived from the peers for one point in time.
    struct derived {
        std::map<std::string, ranking> rankings; // by domain
        std::set<std::string> live_domains;
    };

    const derived& derive(common::time_point now) const;
    const link_limits& limits_of(link_kind kind) const {
        return kind == link_kind::close ? m_limits.close_link : m_limits.loose_link;
    }
    common::milliseconds timeout_of(const peer& it, common::time_point now) const;
    common::milliseconds news_timeout() const;
    // Whether this entry expects to go on learning of it: there is a link, or it is of this domain.
    bool is_followed(const peer& it) const;
    // Whether an entry whose heartbeats stay out is heard by others, and no jobs depend on the
    // link: then it is more likely that a few datagrams were lost.
    bool is_heard_by_others(const peer& it, common::time_point now) const;
    bool hears_this_entry(const peer& it, common::time_point now) const;
    void update_link(peer& it, common::time_point now);
    // Returns whether the incarnation is new.
    bool learn_identity(peer& it, const entry_identity& identity, common::time_point now,
                        learnt& result);
    void learn_status(peer& it, const entry_status& status, common::time_point sign,
                      common::time_point now);
    void receive_news(const entry_news& it, common::time_point now, learnt& result);

    const entry_identity m_self;
    const std::uint64_t m_self_key; // entry_key()
    entry_status m_status;
    shared_state m_shared;
    const std::uint16_t m_port;
    const view_limits m_limits;
    const common::time_point m_started;
    common::time_point m_settled_at;
    std::map<std::string, peer> m_peers;                    // by name
    absl::flat_hash_map<std::uint64_t, std::string> m_keys; // names, by key of the incarnation
    std::set<std::string> m_listed;                         // names in the platform's table
    std::set<std::string> m_unidentified_hosts; // hosts of entries whose name is not known yet
    std::uint64_t m_holdings_version = 1;
    mutable derived m_derived;
    // The time that m_derived holds for; reset when a peer or the status changes.
    mutable std::optional<common::time_point> m_derived_at;
};

} // namespace savorytrail::fleet
