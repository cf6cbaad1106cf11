// Determines which entries are live, from the platform's live list and from heartbeats. Performs no
// I/O: lists, datagrams and time are passed in. A stale or wrong view affects only load balancing;
// the guarantee that a task starts at most once does not depend on it.
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
    common::milliseconds suspect_after{3000}; // within the own failure domain
    // For other failure domains, whose entries send heartbeats to this one rarely.
    common::milliseconds suspect_other_after{60000};
    // Time without heartbeats from any entry of another failure domain after which its executors
    // are taken over.
    common::milliseconds orphan_after{15000};

    bool operator==(const view_limits&) const = default;
};

enum class liveness {
    live,
    suspected, // listed as live, but without heartbeats or flapping
    leaving,   // according to its heartbeat or the live list
};

// The known state of another entry.
struct peer_status {
    std::string name;
    std::uint32_t number = 0; // submission::vm_number() of the name
    std::string failure_domain;
    std::string region;
    common::endpoint address;
    liveness state = liveness::suspected;
    std::optional<common::time_point> last_heard;
    heartbeat last; // valid only if last_heard is set

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

    // Replaces the list of entries with that of the live list, of all failure domains.
    void update(const std::vector<platform::vm>& entries, common::time_point now);

    // Processes a heartbeat. Returns false if it is ignored: from an unlisted sender or this entry
    // itself, of a replaced incarnation, or not newer than the last one received.
    bool receive(const heartbeat& it, common::time_point now);

    std::optional<peer_status> find(const std::string& name, common::time_point now) const;
    // All listed entries except this one, ordered by name.
    std::vector<peer_status> peers(common::time_point now) const;
    // Names of the live entries of a failure domain, ordered, including this entry if it belongs
    // to the domain.
    std::vector<std::string> live_entries(const std::string& failure_domain,
                                          common::time_point now) const;
    // Whether no entry of the failure domain remains to use its executors.
    bool is_orphaned(const std::string& failure_domain, common::time_point now) const;

    // Idle slots and demand from the latest reports of other entries that are at most `max_age`
    // old: idle slots of live entries, demand of all entries that are not leaving.
    std::vector<idle_slots> idle(std::uint32_t upstream, common::milliseconds max_age,
                                 common::time_point now) const;
    std::vector<entry_demand> demand(common::milliseconds max_age, common::time_point now) const;

    // Number of entries that are listed as live, including this one: the full size of the fleet.
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
        std::vector<submission::incarnation> replaced_incarnations; // oldest first
        // Heartbeats still needed before the entry counts as live again after it was silent.
        int recovery_heartbeats = 0;
        int flaps = 0; // consecutive silences, each within flap_window of the one before
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
    absl::flat_hash_map<std::uint32_t, record> m_records; // by VM number; excludes this entry
    bool m_is_list_known = false;
    bool m_is_self_listed = false;
};

} // namespace savorytrail::membership
