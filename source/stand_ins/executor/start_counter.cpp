// Counting of task starts.
#include "stand_ins/executor/start_counter.h"

namespace savorytrail::stand_ins {

void start_counter::add(const std::string& task) {
    const std::lock_guard lock(m_mutex);
    m_starts.total++;
    if (!task.empty())
        m_starts.tasks[task]++;
}

start_counts start_counter::read() const {
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

void start_counter::clear() {
    const std::lock_guard lock(m_mutex);
    m_starts = {};
}

} // namespace savorytrail::stand_ins
