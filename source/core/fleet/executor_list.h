// The executors that the platform lists. A dropped executor stays listed for a grace period, since
// the platform also drops executors that cannot reach it during an outage or a network partition,
// and these are listed again soon after.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/work/executor.h"

namespace savorytrail::fleet {

class executor_list {
public:
    explicit executor_list(common::milliseconds grace_period = common::milliseconds(2500))
        : m_grace_period(grace_period) {}

    void put(work::executor_info info);
    void drop(const std::string& id, common::time_point now);
    // Enclose a refresh with the whole list: executors that are not put in between are dropped.
    void begin_refresh();
    void finish_refresh(common::time_point now);

    // Removes executors dropped longer ago than the grace period; returns whether there were any.
    bool expire(common::time_point now);
    std::vector<work::executor_info> all() const;

private:
    struct entry {
        work::executor_info info;
        std::optional<common::time_point> dropped_at;
        bool is_confirmed = true; // put since the last begin_refresh()
    };

    const common::milliseconds m_grace_period;
    std::map<std::string, entry> m_entries; // by id
};

} // namespace savorytrail::fleet
