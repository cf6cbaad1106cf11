// Derives which executors this entry should hold: those that fall to it among the dispatchers of
// its failure domain, but for those that another live entry still holds. Recomputed only when one
// of its inputs has changed.
#pragma once

#include <set>

#include "core/fleet/view.h"
#include "core/work/executor.h"

namespace savorytrail::fleet {

class assignment {
public:
    // The executors of this entry's failure domain, as the platform lists them.
    void set_executors(std::vector<work::executor_info> own_domain);
    std::size_t executor_count() const { return m_executors.size(); }

    // Returns whether the executors to hold may have changed. Executors in `held_here` are held by
    // this entry already.
    bool update(const view& fleet, const std::set<std::string>& held_here, common::time_point now);
    const std::vector<work::executor_info>& own_executors() const { return m_own; }

private:
    struct listed_executor {
        work::executor_info info;
        std::uint64_t key = 0;
    };

    // What the result was derived from.
    struct inputs {
        std::vector<std::string> dispatchers;
        std::uint64_t holdings_version = 0;
        std::uint64_t executors_version = 0;
        std::set<std::string> held_here;

        bool operator==(const inputs&) const = default;
    };

    std::vector<listed_executor> m_executors;
    std::uint64_t m_executors_version = 1;
    inputs m_inputs;
    std::vector<work::executor_info> m_own;
};

} // namespace savorytrail::fleet
