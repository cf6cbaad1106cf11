// Delayed publication of VM changes, and reads by revision.
#include "stand_ins/platform/live_list.h"

namespace savorytrail::stand_ins {

void live_list::put(vm change) {
    const std::lock_guard lock(m_mutex);
    m_pending.push_back({m_clock.now() + m_lag, std::move(change)});
}

void live_list::override_address(const std::string& reader, const std::string& vm_name,
                                 std::string address) {
    const std::lock_guard lock(m_mutex);
    publish_due();
    m_address_overrides[{reader, vm_name}] = std::move(address);
    if (const auto it = m_vms.find(vm_name); it != m_vms.end())
        it->second.revision = ++m_revision;
}

std::optional<list_response> live_list::read(std::uint64_t newer_than, const std::string& reader) {
    const std::lock_guard lock(m_mutex);
    publish_due();
    if (newer_than != 0 && newer_than == m_revision)
        return std::nullopt;

    list_response response;
    response.revision = m_revision;
    response.complete = newer_than == 0 || newer_than > m_revision;
    for (const auto& [name, it] : m_vms) {
        if (!response.complete && it.revision <= newer_than)
            continue;
        response.vms.push_back(it.value);
        if (const auto found = m_address_overrides.find({reader, name});
            found != m_address_overrides.end())
            response.vms.back().address = found->second;
    }
    return response;
}

void live_list::publish_due() {
    const auto now = m_clock.now();
    while (!m_pending.empty() && m_pending.front().visible_at <= now) {
        auto change = std::move(m_pending.front().value);
        m_pending.pop_front();
        auto& it = m_vms[change.name];
        it = {++m_revision, std::move(change)};
    }
}

} // namespace savorytrail::stand_ins
