// The failure domains that an operator has drained, as of a version of the platform's store. What
// the store says and what other entries tell is merged: a newer version replaces an older one as a
// whole, and a version never goes back. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/fleet/shared_state.h"

namespace savorytrail::fleet {

struct drain_limits {
    // A job that has begun may start its remaining tasks in a drained domain until the drain has
    // been known for this long to the first entry that tells of it. Giving it up would discard the
    // work already done. With the time that heartbeats take to reach all entries, it stays well
    // below the 5 s that the platform allows.
    common::milliseconds grace{1500};
    // Keep a heartbeat within one datagram, whatever an operator or another entry writes.
    std::size_t max_domains = 64;
    std::size_t max_name_length = 64; // bytes

    bool operator==(const drain_limits&) const = default;
};

class drained_domains {
public:
    explicit drained_domains(drain_limits limits = {}) : m_limits(limits) {}

    // Which drains have begun and ended by what was learnt.
    struct change {
        std::vector<std::string> begun;
        std::vector<std::string> ended;
        bool is_rejected = false; // the state exceeds the limits, or names no domain

        bool is_empty() const { return begun.empty() && ended.empty(); }
        bool operator==(const change&) const = default;
    };

    // The rows as of a version, read from the store. They replace an equal version told by others.
    change read(std::uint64_t version, const std::vector<std::string>& domains,
                common::time_point now);
    // What another entry tells. An equal version can only show that a drain is older.
    change merge(const drain_state& it, common::time_point now);

    // Whether it is known which domains are drained. An entry that has just started does not know,
    // and must start no task: any domain may have been drained before. What a single entry tells is
    // not enough, as it may be cut off from the store and the others.
    bool is_known() const { return m_is_known; }
    // The store was not reached, but others had the time to tell.
    void note_known() { m_is_known = true; }

    bool is_drained(const std::string& domain) const { return m_since.contains(domain); }
    // Until when jobs that have begun may start tasks there; nullopt if it is not drained.
    std::optional<common::time_point> grace_until(const std::string& domain) const;
    bool may_finish_in(const std::string& domain, common::time_point now) const;
    std::size_t count() const { return m_since.size(); }
    std::vector<std::string> names() const;
    std::uint64_t version() const { return m_version; }
    const drain_limits& limits() const { return m_limits; }

    // What this entry tells others: empty until it has learnt of any drain. After that also an
    // empty set has a version, so that entries that missed the end of a drain learn of it.
    drain_state state(common::time_point now) const;

private:
    using time_map = std::map<std::string, common::time_point>;

    bool is_acceptable(const std::vector<std::string>& domains) const;
    change replace(std::uint64_t version, time_map since);

    const drain_limits m_limits;
    std::uint64_t m_version = 0;
    time_map m_since; // by domain
    bool m_is_known = false;
    bool m_is_shared = false; // some entry has learnt of a drain
};

} // namespace savorytrail::fleet
