// FIFO assignment of slots by ticket.
#include "stand_ins/executor/slot_queue.h"

#include <algorithm>

namespace savorytrail::stand_ins {

void slot_queue::acquire() {
    std::unique_lock lock(m_mutex);
    const auto ticket = m_next_ticket++;
    const auto may_run = [&] { return ticket < m_released + m_slots; };
    if (!may_run()) {
        m_most_waiting = std::max(m_most_waiting, ++m_waiting);
        m_slot_released.wait(lock, may_run);
        m_waiting--;
    }
    m_most_running = std::max(m_most_running, ++m_running);
}

void slot_queue::release() {
    const std::lock_guard lock(m_mutex);
    m_released++;
    m_running--;
    m_slot_released.notify_all();
}

std::uint64_t slot_queue::most_running() const {
    const std::lock_guard lock(m_mutex);
    return m_most_running;
}

std::uint64_t slot_queue::most_waiting() const {
    const std::lock_guard lock(m_mutex);
    return m_most_waiting;
}

void slot_queue::reset_high_water_marks() {
    const std::lock_guard lock(m_mutex);
    m_most_running = m_running;
    m_most_waiting = m_waiting;
}

} // namespace savorytrail::stand_ins
