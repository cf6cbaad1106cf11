#include "core/fleet/store_readers.h"

namespace savorytrail::fleet {

bool store_readers::should_read(const view& fleet, common::time_point now) {
    std::size_t position = 0;
    std::size_t readers = 0;
    for (const auto* it : fleet.ranked(fleet.self().failure_domain, now)) {
        if (it == nullptr) {
            break;
        }
        position++;
        const auto& age = it->status.store_age;
        readers += age && *age <= m_limits.max_store_age ? 1 : 0;
    }
    m_others = readers;
    if (readers >= m_limits.readers_per_domain) {
        m_needed_since.reset();
        return false;
    }
    if (!m_needed_since) {
        m_needed_since = now;
    }
    const bool is_reading = fleet.status().store_age.has_value();
    const auto delay =
        m_limits.start_delay_per_entry * static_cast<std::int64_t>(position - readers);
    return is_reading || now - *m_needed_since >= delay;
}

} // namespace savorytrail::fleet
