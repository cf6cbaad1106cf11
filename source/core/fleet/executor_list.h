// The executors that the platform lists. One that is dropped from the list stays in it for a while:
// the platform also drops executors that could not reach it, by an outage or a cut, and those are
// back soon after.
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
    // The whole list was read anew: what is not put from now on until finish_refresh() is dropped.
    void begin_refresh();
    void finish_refresh(common::time_point now);

    // Forgets those dropped longer ago than the grace. Whether there were any.
    bool expire(common::time_point now);
    std::vector<work::executor_info> all() const;

private:
    struct entry {
        work::executor_info info;
        std::optional<common::time_point> dropped_at;
        bool is_confirmed = true; // since the latest begin_refresh()
    };

    const common::milliseconds m_grace_period;
    std::map<std::string, entry> m_entries; // by id
};

} // namespace savorytrail::fleet
