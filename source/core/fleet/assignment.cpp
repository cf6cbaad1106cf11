#include "core/fleet/assignment.h"

#include "core/common/rendezvous.h"

namespace savorytrail::fleet {

void assignment::set_executors(std::vector<work::executor_info> own_domain) {
    m_executors.clear();
    for (auto& it : own_domain) {
        const auto key = executor_key(it.id);
        m_executors.push_back({std::move(it), key});
    }
    m_executors_version++;
}

bool assignment::update(const view& fleet, const std::set<std::string>& held_here,
                        common::time_point now) {
    inputs current{fleet.dispatchers(fleet.self().failure_domain, m_executors.size(), now),
                   fleet.holdings_version(), m_executors_version, held_here};
    if (current == m_inputs) {
        return false;
    }
    m_inputs = std::move(current);
    m_own.clear();
    const auto held_by_others = fleet.held_by_others(now);
    for (const auto& it : m_executors) {
        const bool is_chosen =
            common::rendezvous_choice(it.info.id, m_inputs.dispatchers) == fleet.self().name;
        const bool is_free = !held_by_others.contains(it.key) || held_here.contains(it.info.id);
        if (is_chosen && is_free) {
            m_own.push_back(it.info);
        }
    }
    return true;
}

} // namespace savorytrail::fleet
