#include "core/fleet/executor_list.h"

#include <algorithm>

namespace savorytrail::fleet {
namespace {

// How long it is remembered that an executor was dropped, for entries that were cut off meanwhile.
constexpr common::milliseconds drop_memory{60000};

} // namespace

bool executor_list::put(work::executor_info info, std::uint64_t version) {
    auto& it = m_entries[info.id];
    it.is_confirmed = true;
    const bool is_same = !it.listed.is_dropped && it.listed.info == info;
    if (is_same || version < it.listed.version) {
        return false;
    }
    it.listed = {std::move(info), false, version};
    it.has_expired = false;
    m_version = std::max(m_version, version);
    return true;
}

bool executor_list::drop(const std::string& id, std::uint64_t version, common::time_point now) {
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.listed.is_dropped ||
        version < it->second.listed.version) {
        return false;
    }
    it->second.listed.is_dropped = true;
    it->second.listed.version = version;
    it->second.dropped_at = now;
    m_version = std::max(m_version, version);
    return true;
}

void executor_list::begin_refresh() {
    for (auto& [id, it] : m_entries) {
        it.is_confirmed = false;
    }
}

bool executor_list::finish_refresh(std::uint64_t version, common::time_point now) {
    bool has_changed = false;
    for (const auto& [id, it] : m_entries) {
        if (!it.is_confirmed) {
            has_changed = drop(id, version, now) || has_changed;
        }
    }
    return has_changed;
}

bool executor_list::merge(const executor_changes& it, common::time_point now) {
    bool has_changed = false;
    if (it.is_complete) {
        begin_refresh();
    }
    for (const auto& changed : it.executors) {
        if (changed.is_dropped) {
            const auto known = m_entries.find(changed.info.id);
            if (known != m_entries.end()) {
                known->second.is_confirmed = true;
            }
            has_changed = drop(changed.info.id, changed.version, now) || has_changed;
        } else {
            has_changed = put(changed.info, changed.version) || has_changed;
        }
    }
    if (it.is_complete) {
        has_changed = finish_refresh(it.version, now) || has_changed;
    }
    m_version = std::max(m_version, it.version);
    return has_changed;
}

executor_changes executor_list::changes_since(std::uint64_t version) const {
    executor_changes changes;
    changes.version = m_version;
    changes.is_complete = version == 0 || version < m_forgotten_version;
    for (const auto& [id, it] : m_entries) {
        if (changes.is_complete ? !it.listed.is_dropped : it.listed.version > version) {
            changes.executors.push_back(it.listed);
        }
    }
    return changes;
}

bool executor_list::expire(common::time_point now) {
    bool has_changed = false;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto& dropped = it->second;
        const bool is_over = dropped.listed.is_dropped && now - dropped.dropped_at > m_grace_period;
        has_changed = has_changed || (is_over && !dropped.has_expired);
        dropped.has_expired = is_over;
        if (is_over && now - dropped.dropped_at > drop_memory) {
            m_forgotten_version = std::max(m_forgotten_version, dropped.listed.version);
            it = m_entries.erase(it);
        } else {
            ++it;
        }
    }
    return has_changed;
}

std::vector<work::executor_info> executor_list::all() const {
    std::vector<work::executor_info> list;
    list.reserve(m_entries.size());
    for (const auto& [id, it] : m_entries) {
        if (!it.has_expired) {
            list.push_back(it.listed.info);
        }
    }
    return list;
}

} // namespace savorytrail::fleet
