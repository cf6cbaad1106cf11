// Merges live list changes into the directory of VMs.
#include "core/membership/directory.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "core/submission/submission_id.h"

namespace savorytrail::membership {

using platform::vm;
using platform::vm_changes;
using platform::vm_role;
using platform::vm_state;

void directory::update(const vm_changes& changes) {
    const std::lock_guard lock(m_mutex);
    if (changes.revision < m_revision)
        return;
    merge(changes, true);
    m_own_revision = changes.revision;
}

void directory::update_from_peer(const vm_changes& changes) {
    const std::lock_guard lock(m_mutex);
    if (changes.revision <= m_revision)
        return;
    merge(changes, false);
}

void directory::merge(const vm_changes& changes, bool is_own) {
    if (changes.complete) {
        mark_unlisted_gone(changes);
        m_base_revision = changes.revision;
    }
    for (const auto& it : changes.vms)
        update_vm(it, changes.revision, is_own);
    m_revision = changes.revision;
}

void directory::mark_unlisted_gone(const vm_changes& changes) {
    absl::flat_hash_set<std::string> listed;
    for (const auto& it : changes.vms)
        listed.insert(it.name);
    for (auto& [name, it] : m_vms) {
        if (listed.contains(name) || it.vm.state == vm_state::gone)
            continue;
        it.vm.state = vm_state::gone;
        it.revision = changes.revision;
    }
}

void directory::update_vm(const vm& changed, std::uint64_t revision, bool is_own) {
    m_names[submission::vm_number(changed.name)] = changed.name;
    auto& it = m_vms[changed.name];
    const bool has_returned = it.vm.state == vm_state::gone && changed.state != vm_state::gone;
    const bool keeps_address = !is_own && it.has_own_address && !has_returned;
    const auto address = keeps_address ? it.vm.address : changed.address;
    it.vm = changed;
    it.vm.address = address;
    it.revision = revision;
    it.has_own_address = is_own || keeps_address;
    it.needs_own_address = changed.role == vm_role::entry && !it.has_own_address;
}

std::uint64_t directory::revision() const {
    const std::lock_guard lock(m_mutex);
    return m_revision;
}

std::uint64_t directory::own_revision() const {
    const std::lock_guard lock(m_mutex);
    return m_own_revision;
}

bool directory::needs_own_read() const {
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_vms.begin(), m_vms.end(), [](const auto& element) {
        const auto& it = element.second;
        return it.needs_own_address && it.vm.state != vm_state::gone;
    });
}

vm_changes directory::changes_since(std::uint64_t revision) const {
    const std::lock_guard lock(m_mutex);
    vm_changes changes;
    changes.revision = m_revision;
    changes.complete = revision < m_base_revision;
    for (const auto& [name, it] : m_vms) {
        const bool is_included =
            changes.complete ? it.vm.state != vm_state::gone : it.revision > revision;
        if (is_included)
            changes.vms.push_back(it.vm);
    }
    std::sort(changes.vms.begin(), changes.vms.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    return changes;
}

std::optional<vm> directory::find(const std::string& name) const {
    const std::lock_guard lock(m_mutex);
    const auto it = m_vms.find(name);
    return it == m_vms.end() ? std::nullopt : std::optional(it->second.vm);
}

std::optional<vm> directory::find_number(std::uint32_t number) const {
    const std::lock_guard lock(m_mutex);
    const auto name = m_names.find(number);
    if (name == m_names.end())
        return std::nullopt;
    return m_vms.at(name->second).vm;
}

std::vector<vm> directory::entries() const {
    std::vector<vm> values;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [name, it] : m_vms) {
            if (it.vm.role == vm_role::entry)
                values.push_back(it.vm);
        }
    }
    std::sort(values.begin(), values.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    return values;
}

std::vector<std::string> directory::live_entries(const std::string& failure_domain) const {
    std::vector<std::string> names;
    for (const auto& it : entries()) {
        if (it.state == vm_state::live && it.failure_domain == failure_domain)
            names.push_back(it.name);
    }
    return names;
}

std::vector<vm> directory::live_entries() const {
    std::vector<vm> entries;
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, it] : m_vms) {
        if (it.vm.role == vm_role::entry && it.vm.state == vm_state::live)
            entries.push_back(it.vm);
    }
    return entries;
}

bool directory::takes_new_work(const std::string& name) const {
    const auto it = find(name);
    return !it || it->state == vm_state::live;
}

} // namespace savorytrail::membership
