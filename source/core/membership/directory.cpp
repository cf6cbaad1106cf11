// The directory of VMs.
#include "core/membership/directory.h"

#include <algorithm>

#include "core/submission/submission_id.h"

namespace savorytrail::membership {

using platform::vm;
using platform::vm_role;
using platform::vm_state;

void directory::update(const platform::vm_changes& changes) {
    const std::lock_guard lock(m_mutex);
    if (changes.complete) {
        for (auto& [name, it] : m_vms)
            it.state = vm_state::gone;
    }
    for (const auto& it : changes.vms) {
        m_names[submission::vm_number(it.name)] = it.name;
        m_vms[it.name] = it;
    }
}

std::optional<vm> directory::find(const std::string& name) const {
    const std::lock_guard lock(m_mutex);
    const auto it = m_vms.find(name);
    return it == m_vms.end() ? std::nullopt : std::optional(it->second);
}

std::optional<vm> directory::find_number(std::uint32_t number) const {
    const std::lock_guard lock(m_mutex);
    const auto name = m_names.find(number);
    if (name == m_names.end())
        return std::nullopt;
    return m_vms.at(name->second);
}

std::vector<std::string> directory::live_entries(const std::string& failure_domain) const {
    std::vector<std::string> names;
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, it] : m_vms) {
        if (it.role == vm_role::entry && it.state == vm_state::live &&
            it.failure_domain == failure_domain)
            names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<vm> directory::live_entries() const {
    std::vector<vm> entries;
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, it] : m_vms) {
        if (it.role == vm_role::entry && it.state == vm_state::live)
            entries.push_back(it);
    }
    return entries;
}

bool directory::takes_new_work(const std::string& name) const {
    const auto it = find(name);
    return !it || it->state == vm_state::live;
}

} // namespace savorytrail::membership
