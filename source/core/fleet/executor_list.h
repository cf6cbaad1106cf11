// The executors that the platform lists. A dropped executor stays listed for a grace period, since
// the platform also drops executors that cannot reach it during an outage or a network partition,
// and these are listed again soon after.
//
// Most changes of the platform's rows are heartbeats of executors, which the list leaves out. Each
// change that matters has the version of its row, so that an entry that reads the platform can pass
// on what changed to one that does not.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/work/executor.h"

namespace savorytrail::fleet {

struct listed_executor {
    work::executor_info info;
    bool is_dropped = false;   // no longer listed by the platform
    std::uint64_t version = 0; // of its last change

    bool operator==(const listed_executor&) const = default;
};

struct executor_changes {
    std::uint64_t version = 0; // of the list
    bool is_complete = false;  // holds the whole list, not only what changed
    std::vector<listed_executor> executors;

    bool operator==(const executor_changes&) const = default;
};

class executor_list {
public:
    explicit executor_list(common::milliseconds grace_period = common::milliseconds(2500))
        : m_grace_period(grace_period) {}

    // `version`: of the platform's row. Both return whether something changed.
    bool put(work::executor_info info, std::uint64_t version);
    bool drop(const std::string& id, std::uint64_t version, common::time_point now);
    // Enclose a refresh with the whole list: executors that are not put in between are dropped.
    void begin_refresh();
    bool finish_refresh(std::uint64_t version, common::time_point now);

    // What another entry passed on; returns whether something changed.
    bool merge(const executor_changes& it, common::time_point now);
    // What changed after the version, which another entry has; the whole list if it is unknown what
    // has been dropped since then.
    executor_changes changes_since(std::uint64_t version) const;
    // Of the latest change; 0 before the first.
    std::uint64_t version() const { return m_version; }

    // Removes executors dropped longer ago than the grace period; returns whether there were any.
    bool expire(common::time_point now);
    std::vector<work::executor_info> all() const;

private:
    struct entry {
        listed_executor listed;
        common::time_point dropped_at; // valid if it is dropped
        bool is_confirmed = true;      // put since the last begin_refresh()
        bool has_expired = false;      // kept only to pass on that it was dropped
    };

    const common::milliseconds m_grace_period;
    std::map<std::string, entry> m_entries; // by id
    std::uint64_t m_version = 0;
    std::uint64_t m_forgotten_version = 0; // drops up to this version are no longer known
};

std::string encode(const executor_changes& it);
std::optional<executor_changes> decode_executor_changes(const std::string& bytes);

} // namespace savorytrail::fleet
