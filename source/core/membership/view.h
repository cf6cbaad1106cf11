// Which entries are live, from the platform's list and from heartbeats. Sans I/O: lists, datagrams
// and time are passed in. A stale or wrong view costs balance, never safety: nothing that keeps a
// task from starting twice depends on it.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"
#include "core/membership/heartbeat.h"
#include "core/platform/platform.h"

namespace savorytrail::membership {

struct node {
    std::string name;
    std::string failure_domain;
    std::string region;

    bool operator==(const node&) const = default;
};

struct view_limits {
    common::milliseconds heartbeat{1000};
    common::milliseconds suspect_after{3000}; // within the failure domain
    // Entries of other failure domains are heard of rarely.
    common::milliseconds suspect_other_after{60000};
    // Silence of all entries of another failure domain after which its executors are taken over.
    common::milliseconds orphan_after{15000};

    bool operator==(const view_limits&) const = default;
};

enum class liveness {
    live,
    suspected, // listed as live, but silent or flapping
    leaving,   // by its own word or the list's
};

// What is known of another entry.
struct peer_status {
    std::string name;
    std::uint32_t number = 0; // submission::vm_number() of the name
    std::string failure_domain;
    std::string region;
    common::endpoint address;
    liveness state = liveness::suspected;
    std::optional<common::time_point> last_heard;
    heartbeat last; // meaningless until last_heard is set

    bool operator==(const peer_status&) const = default;
};

struct idle_slots {
    std::string vm;
    std::uint32_t upstream = 0; // name_number() of the upstream
    std::uint32_t slots = 0;

    bool operator==(const idle_slots&) const = default;
};

struct entry_demand {
    std::string vm;
    team_demand demand;

    bool operator==(const entry_demand&) const = default;
};

class view {
public:
    view(node self, view_limits limits) : m_self(std::move(self)), m_limits(limits) {}
    view(const view&) = delete;
    view& operator=(const view&) = delete;

    // Takes in the entries of the live list, those of all failure domains.
    void update(const std::vector<platform::vm>& entries, common::time_point now);

    // Takes in a heartbeat; false when it changes nothing: from an unlisted sender, from this entry
    // itself, of an incarnation that another has replaced, or older than one already heard.
    bool receive(const heartbeat& it, common::time_point now);

    std::optional<peer_status> find(const std::string& name, common::time_point now) const;
    // All listed entries but this one, ordered by name.
    std::vector<peer_status> peers(common::time_point now) const;
    // The live entries of a failure domain in order, this one included if it belongs there.
    std::vector<std::string> live_entries(const std::string& failure_domain,
                                          common::time_point now) const;
    // Whether no entry of the failure domain is left to use its executors.
    bool is_orphaned(const std::string& failure_domain, common::time_point now) const;

    // Idle slots and demand that live entries last reported of, and is not older than `max_age`.
    std::vector<idle_slots> idle(std::uint32_t upstream, common::milliseconds max_age,
                                 common::time_point now) const;
    std::vector<entry_demand> demand(common::milliseconds max_age, common::time_point now) const;

    // Entries that the live list names as live, this one included: the fleet's full size.
    std::size_t listed_entries() const;

    const node& self() const { return m_self; }
    const view_limits& limits() const { return m_limits; }

private:
    struct timed_value {
        std::uint32_t value = 0;
        common::time_point at;
    };

    struct timed_demand {
        team_demand demand;
        common::time_point at;
    };

    struct record {
        platform::vm vm;
        common::time_point listed_since;
        std::optional<common::time_point> last_heard;
        heartbeat last;
        std::vector<submission::incarnation> replaced_incarnations; // earlier ones, the latest last
        // Heartbeats still to be heard before the entry counts as live again after a silence.
        int recovery_heartbeats = 0;
        int flaps = 0; // silences within flap_window of one another
        common::time_point last_flap;
        absl::flat_hash_map<std::uint32_t, timed_value> idle;    // by upstream
        absl::flat_hash_map<std::uint32_t, timed_demand> demand; // by team
    };

    common::milliseconds silence_limit(const record& it) const;
    liveness evaluate_liveness(const record& it, common::time_point now) const;
    bool accept_in_order(record& it, const heartbeat& received) const;
    void update_recovery(record& it, common::time_point now) const;
    peer_status status(const record& it, common::time_point now) const;

    const node m_self;
    const view_limits m_limits;
    mutable std::mutex m_mutex;                           // guards all below
    absl::flat_hash_map<std::uint32_t, record> m_records; // by VM number, without this entry
    bool m_is_list_known = false;
    bool m_is_self_listed = false;
};

} // namespace savorytrail::membership
