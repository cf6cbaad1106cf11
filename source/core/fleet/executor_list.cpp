#include "core/fleet/executor_list.h"

namespace savorytrail::fleet {

void executor_list::put(work::executor_info info) {
    auto& it = m_entries[info.id];
    it.info = std::move(info);
    it.dropped_at.reset();
    it.is_confirmed = true;
}

void executor_list::drop(const std::string& id, common::time_point now) {
    const auto it = m_entries.find(id);
    if (it != m_entries.end() && !it->second.dropped_at) {
        it->second.dropped_at = now;
    }
}

void executor_list::begin_refresh() {
    for (auto& [id, it] : m_entries) {
        it.is_confirmed = false;
    }
}

void executor_list::finish_refresh(common::time_point now) {
    for (const auto& [id, it] : m_entries) {
        if (!it.is_confirmed) {
            drop(id, now);
        }
    }
}

bool executor_list::expire(common::time_point now) {
    return std::erase_if(m_entries, [&](const auto& it) {
               return it.second.dropped_at && now - *it.second.dropped_at > m_grace_period;
           }) > 0;
}

std::vector<work::executor_info> executor_list::all() const {
    std::vector<work::executor_info> list;
    list.reserve(m_entries.size());
    for (const auto& [id, it] : m_entries) {
        list.push_back(it.info);
    }
    return list;
}

} // namespace savorytrail::fleet
