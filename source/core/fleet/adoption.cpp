#include "core/fleet/adoption.h"

#include <utility>

#include "core/common/rendezvous.h"

namespace savorytrail::fleet {

void adoption::set_listed_executors(const std::vector<work::executor_info>& executors) {
    m_listed_executors.clear();
    for (const auto& it : executors) {
        m_listed_executors[it.failure_domain].push_back(it);
    }
}

void adoption::update(const view& fleet, common::time_point now) {
    std::erase_if(m_orphaned_since, [&](const auto& it) {
        return !m_listed_executors.contains(it.first) || fleet.has_live_entry(it.first, now);
    });
    for (const auto& [domain, executors] : m_listed_executors) {
        if (!fleet.has_live_entry(domain, now)) {
            m_orphaned_since.try_emplace(domain, now);
        }
    }
    choose_candidates(fleet, now);
}

void adoption::choose_candidates(const view& fleet, common::time_point now) {
    const auto previous = std::exchange(m_candidates, {});
    if (!has_orphaned_domains()) {
        return;
    }
    std::vector<std::string> adopters;
    for (const auto& domain : fleet.live_domains(now)) {
        const auto listed = m_listed_executors.find(domain);
        const auto executor_count = listed == m_listed_executors.end() ? 0 : listed->second.size();
        const auto names = fleet.dispatchers(domain, executor_count, now);
        adopters.insert(adopters.end(), names.begin(), names.end());
    }
    for (const auto& [domain, since] : m_orphaned_since) {
        for (const auto& info : m_listed_executors.at(domain)) {
            if (common::rendezvous_choice(info.id, adopters) != fleet.self().name) {
                continue;
            }
            const auto former = previous.find(info.id);
            auto& it = m_candidates[info.id];
            it = former == previous.end() ? candidate() : former->second;
            it.info = info;
            it.key = executor_key(info.id);
        }
    }
}

bool adoption::take_due_table_read(common::time_point now) {
    if (!has_orphaned_domains() ||
        (m_table_read_requested && now - *m_table_read_requested < m_limits.table_read_interval)) {
        return false;
    }
    m_table_read_requested = now;
    return true;
}

void adoption::note_entry_row(const std::string& entry, const std::string& domain,
                              std::uint64_t version, common::time_point now) {
    const auto [known, is_first] = m_row_versions.try_emplace(entry, version);
    if (is_first || known->second == version) {
        return;
    }
    known->second = version;
    m_presumed_alive_until[domain] = now + m_limits.row_change_validity;
}

std::vector<work::executor_info> adoption::take_due_probes(common::time_point now) {
    std::vector<work::executor_info> due;
    for (auto& [id, it] : m_candidates) {
        if (it.last_probed && now - *it.last_probed < m_limits.probe_interval) {
            continue;
        }
        it.last_probed = now;
        due.push_back(it.info);
    }
    return due;
}

void adoption::note_probe_answered(const std::string& executor, common::time_point now) {
    const auto found = m_candidates.find(executor);
    if (found == m_candidates.end()) {
        return;
    }
    auto& it = found->second;
    if (!is_reachable(it, now)) {
        it.reachable_since = now;
    }
    it.last_answered = now;
}

void adoption::note_held(const std::string& executor, common::time_point now) {
    const auto found = m_candidates.find(executor);
    if (found != m_candidates.end() && !found->second.held_since) {
        found->second.held_since = now;
    }
}

void adoption::note_used_by_other(const std::string& domain, common::time_point now) {
    m_presumed_alive_until[domain] = now + m_limits.other_use_validity;
    for (auto& [id, it] : m_candidates) {
        if (it.info.failure_domain == domain) {
            it.held_since.reset();
        }
    }
}

bool adoption::is_reachable(const candidate& it, common::time_point now) const {
    return it.last_answered && now - *it.last_answered <= 3 * m_limits.probe_interval;
}

bool adoption::is_abandoned(const std::string& domain, common::time_point now) const {
    const auto since = m_orphaned_since.find(domain);
    if (since == m_orphaned_since.end() || now - since->second < m_limits.orphan_timeout) {
        return false;
    }
    const auto presumed_alive = m_presumed_alive_until.find(domain);
    return presumed_alive == m_presumed_alive_until.end() || now > presumed_alive->second;
}

bool adoption::may_be_claimed(const candidate& it, common::time_point now) const {
    const auto abandoned_since =
        m_orphaned_since.at(it.info.failure_domain) + m_limits.orphan_timeout;
    const bool is_table_current = m_last_table_read && *m_last_table_read >= abandoned_since &&
                                  now - *m_last_table_read < 2 * m_limits.table_read_interval;
    return is_table_current && is_reachable(it, now) &&
           now - *it.reachable_since >= m_limits.min_reachable_time;
}

std::set<std::string> adoption::domains_past_trial(common::time_point now) const {
    std::set<std::string> domains;
    for (const auto& [id, it] : m_candidates) {
        if (it.held_since && now - *it.held_since >= m_limits.trial_time) {
            domains.insert(it.info.failure_domain);
        }
    }
    return domains;
}

std::vector<work::executor_info> adoption::adopted_executors(const view& fleet,
                                                             const std::set<std::string>& held_here,
                                                             common::time_point now) const {
    if (m_candidates.empty()) {
        return {};
    }
    const auto held_by_others = fleet.held_by_others(now);
    const auto past_trial = domains_past_trial(now);
    std::map<std::string, std::size_t> on_trial;
    std::vector<work::executor_info> list;
    for (const auto& [id, it] : m_candidates) {
        if (held_here.contains(id) && is_abandoned(it.info.failure_domain, now)) {
            list.push_back(it.info);
            on_trial[it.info.failure_domain]++;
        }
    }
    for (const auto& [id, it] : m_candidates) {
        const auto& domain = it.info.failure_domain;
        if (held_here.contains(id) || held_by_others.contains(it.key) ||
            !is_abandoned(domain, now) || !may_be_claimed(it, now)) {
            continue;
        }
        if (past_trial.contains(domain) || on_trial[domain]++ < m_limits.max_trials) {
            list.push_back(it.info);
        }
    }
    return list;
}

} // namespace savorytrail::fleet
