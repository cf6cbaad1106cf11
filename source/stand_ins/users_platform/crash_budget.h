// Checks the platform's bound on tasks that crash executors: once three executors have crashed
// under a task, a third start more breaks it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "stand_ins/users_platform/simulated_executor.h"

namespace savorytrail::cell {

class crash_budget {
public:
    // To be called when the executor has been advanced; `seen` is what earlier calls have counted.
    void count_crashes(const simulated_executor& it, std::size_t& seen) {
        const auto& all = it.crashed_by();
        for (; seen < all.size(); seen++) {
            m_tasks[all[seen]].crashes++;
        }
    }

    // Returns whether the start breaks the bound.
    bool note_start(const work::task_id& task) {
        const auto it = m_tasks.find(task);
        if (it == m_tasks.end() || it->second.crashes < max_crashes) {
            return false;
        }
        return ++it->second.starts_after >= max_starts_after;
    }

    int crashes_by(const work::task_id& task) const {
        const auto it = m_tasks.find(task);
        return it == m_tasks.end() ? 0 : it->second.crashes;
    }

private:
    static constexpr int max_crashes = 3;
    static constexpr int max_starts_after = 3;

    struct count {
        int crashes = 0;
        int starts_after = 0; // since the last crash that is allowed
    };

    std::map<work::task_id, count> m_tasks;
};

} // namespace savorytrail::cell
