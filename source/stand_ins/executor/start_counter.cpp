// The log of starts.
#include "stand_ins/executor/start_log.h"

namespace savorytrail::stand_ins {

void start_log::add(const std::string& task) {
    const std::lock_guard lock(m_mutex);
    m_starts.total++;
    if (!task.empty())
        m_starts.tasks[task]++;
}

starts start_log::read() const {
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

void start_log::clear() {
    const std::lock_guard lock(m_mutex);
    m_starts = {};
}

} // namespace savorytrail::stand_ins
