// An executor's slots, which requests acquire in order of arrival.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace savorytrail::stand_ins {

class slot_queue {
public:
    explicit slot_queue(std::uint64_t slots) : m_slots(slots) {}

    void acquire();
    void release();

    std::uint64_t most_running() const;
    std::uint64_t most_waiting() const;
    void reset_high_water_marks();

private:
    const std::uint64_t m_slots;
    mutable std::mutex m_mutex;
    std::condition_variable m_slot_released;
    // Guarded by m_mutex. Ticket t may run once fewer than m_slots earlier tickets hold or await a
    // slot, that is when t < m_released + m_slots.
    std::uint64_t m_next_ticket = 0;
    std::uint64_t m_released = 0;
    std::uint64_t m_running = 0;
    std::uint64_t m_waiting = 0;
    std::uint64_t m_most_running = 0;
    std::uint64_t m_most_waiting = 0;
};

} // namespace savorytrail::stand_ins
