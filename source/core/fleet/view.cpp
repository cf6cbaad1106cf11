#include "core/fleet/view.h"

#include <algorithm>
#include <tuple>

#include "core/common/rendezvous.h"

namespace savorytrail::fleet {

using common::milliseconds;
using common::time_point;

view::view(heartbeat self, std::uint16_t port, view_limits limits, time_point now)
    : m_self(std::move(self)), m_port(port), m_limits(limits), m_started(now),
      m_settled_at(now + limits.settle_time) {}

void view::note_entries_listed(time_point now) {
    m_settled_at = std::min(m_settled_at, now + m_limits.settle_time_after_listing);
}

void view::add_entry(const entry_info& it) {
    if (it.name == m_self.name || it.host.empty()) {
        return;
    }
    if (it.name.empty()) {
        m_unidentified_hosts.insert(it.host);
        return;
    }
    auto& entry = m_peers[it.name];
    if (entry.last_heard) {
        return; // its own heartbeats take precedence
    }
    entry.name = it.name;
    entry.failure_domain = it.failure_domain;
    entry.address = {it.host, m_port};
}

bool view::receive(const heartbeat& it, const std::string& host, time_point now) {
    if (it.name == m_self.name) {
        return false;
    }
    auto& entry = m_peers[it.name];
    const bool is_new = !entry.last_heard || it.incarnation > entry.last_heartbeat.incarnation;
    if (!is_new && (it.incarnation < entry.last_heartbeat.incarnation ||
                    it.sequence <= entry.last_heartbeat.sequence)) {
        return false;
    }
    entry.name = it.name;
    entry.failure_domain = it.failure_domain;
    entry.address = {host, m_port};
    entry.last_heartbeat = it;
    entry.last_heard = now;
    entry.is_disconnected = false;
    if (is_new) {
        entry.last_sent.reset(); // send it a heartbeat at once
    }
    m_unidentified_hosts.erase(host);
    for (const auto& known : it.known) {
        add_entry(known);
    }
    return is_new;
}

void view::note_connection_lost(const std::string& name) {
    if (const auto it = m_peers.find(name); it != m_peers.end()) {
        it->second.is_disconnected = true;
    }
}

const peer* view::find(const std::string& name) const {
    const auto it = m_peers.find(name);
    return it == m_peers.end() ? nullptr : &it->second;
}

void view::note_stall(milliseconds duration, time_point now) {
    for (auto& [name, it] : m_peers) {
        if (it.last_heard) {
            it.last_heard = std::min(now, *it.last_heard + duration);
        }
    }
}

milliseconds view::timeout_of(const peer& it) const {
    if (it.is_disconnected) {
        return is_in_own_domain(it) ? m_limits.own_domain_timeout_disconnected
                                    : m_limits.other_domain_timeout_disconnected;
    }
    return is_in_own_domain(it) ? m_limits.own_domain_timeout : m_limits.other_domain_timeout;
}

bool view::is_live(const peer& it, time_point now) const {
    const auto limit =
        is_in_own_domain(it) ? m_limits.own_domain_timeout : m_limits.other_domain_timeout;
    if (!it.last_heard || now - *it.last_heard > timeout_of(it)) {
        return false;
    }
    // An entry that does not receive this one's heartbeats counts as lost: jobs forwarded to it
    // would not arrive either.
    const auto heard = it.last_heartbeat.heard.find(m_self.name);
    if (heard != it.last_heartbeat.heard.end()) {
        return heard->second <= limit;
    }
    return now - m_started < 2 * limit || it.last_heartbeat.sequence < 3;
}

bool view::is_live(const std::string& name, time_point now) const {
    const auto* it = find(name);
    return it != nullptr && is_live(*it, now);
}

std::set<std::string> view::live_domains(time_point now) const {
    std::set<std::string> domains;
    if (!m_self.is_leaving) {
        domains.insert(m_self.failure_domain);
    }
    for (const auto& [name, it] : m_peers) {
        if (!it.last_heartbeat.is_leaving && is_live(it, now)) {
            domains.insert(it.failure_domain);
        }
    }
    return domains;
}

bool view::has_live_entry(const std::string& domain, time_point now) const {
    return domain == m_self.failure_domain ||
           std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& it) {
               return it.second.failure_domain == domain && is_live(it.second, now);
           });
}

std::set<std::string> view::held_by_others(time_point now) const {
    std::set<std::string> held;
    for (const auto& [name, it] : m_peers) {
        if (is_live(it, now)) {
            held.insert(it.last_heartbeat.held.begin(), it.last_heartbeat.held.end());
            held.insert(it.last_heartbeat.adopted.begin(), it.last_heartbeat.adopted.end());
        }
    }
    return held;
}

std::vector<std::string> view::take_lost(time_point now) {
    std::vector<std::string> lost;
    for (const auto& [name, it] : m_peers) {
        if (is_live(it, now)) {
            m_live_before.insert(name);
        } else if (m_live_before.erase(name) > 0) {
            lost.push_back(name);
        }
    }
    return lost;
}

std::vector<view::outgoing> view::due_heartbeats(const heartbeat& own, time_point now) {
    outgoing own_domain{own, {}};
    outgoing other_domains{own, {}};
    other_domains.content.held.clear();
    for (const auto& [name, it] : m_peers) {
        if (it.last_heard) {
            const auto ago = std::chrono::duration_cast<milliseconds>(now - *it.last_heard);
            own_domain.content.heard[name] = ago;
            own_domain.content.known.push_back({name, it.failure_domain, it.address.host});
        }
    }
    other_domains.content.heard = own_domain.content.heard;
    for (auto& [name, it] : m_peers) {
        const bool is_responsive =
            it.last_heard && now - *it.last_heard < 4 * m_limits.other_domain_timeout;
        auto period =
            is_in_own_domain(it) ? m_limits.own_domain_interval : m_limits.other_domain_interval;
        if (!is_responsive && now - m_started > 2 * m_limits.silent_peer_interval) {
            period = m_limits.silent_peer_interval;
        }
        if (it.last_sent && now - *it.last_sent < period) {
            continue;
        }
        it.last_sent = now;
        (is_in_own_domain(it) ? own_domain : other_domains).recipients.push_back(it.address);
    }
    for (const auto& host : m_unidentified_hosts) {
        auto& sent = m_unidentified_sent[host];
        if (now - sent >= m_limits.other_domain_interval) {
            sent = now;
            other_domains.recipients.push_back({host, m_port});
        }
    }
    m_sequence++;
    own_domain.content.sequence = m_sequence;
    other_domains.content.sequence = m_sequence;
    return {own_domain, other_domains};
}

std::vector<std::string> view::dispatchers(const std::string& domain, std::size_t executor_count,
                                           time_point now) const {
    // Entries that know the executors first, then those with the larger CPU share, then those that
    // have run for longest.
    using rank = std::tuple<bool, std::int64_t, std::uint64_t, std::string>;
    std::vector<rank> candidates;
    const auto add = [&](const heartbeat& it) {
        if (!it.is_leaving) {
            candidates.emplace_back(!it.knows_executors, -std::int64_t{it.cpu_share_millis},
                                    it.incarnation, it.name);
        }
    };
    if (m_self.failure_domain == domain) {
        add(m_self);
    }
    for (const auto& [name, it] : m_peers) {
        if (it.failure_domain == domain && is_live(it, now)) {
            add(it.last_heartbeat);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    const std::size_t cells = std::max<std::size_t>(
        1, (executor_count + m_limits.executors_per_cell / 2) / m_limits.executors_per_cell);
    std::vector<std::string> names;
    for (const auto& it : candidates) {
        if (names.size() < cells) {
            names.push_back(std::get<std::string>(it));
        }
    }
    return names;
}

std::vector<const peer*> view::live_peers(time_point now) const {
    std::vector<const peer*> list;
    for (const auto& [name, it] : m_peers) {
        if (is_live(it, now)) {
            list.push_back(&it);
        }
    }
    return list;
}

std::vector<work::executor_info> view::own_executors(const std::vector<work::executor_info>& listed,
                                                     const std::set<std::string>& held_here,
                                                     time_point now) const {
    std::vector<work::executor_info> own_domain;
    for (const auto& it : listed) {
        if (it.failure_domain == m_self.failure_domain) {
            own_domain.push_back(it);
        }
    }
    const auto names = dispatchers(m_self.failure_domain, own_domain.size(), now);
    const auto held = held_by_others(now);
    std::erase_if(own_domain, [&](const work::executor_info& it) {
        return common::rendezvous_choice(it.id, names) != m_self.name ||
               (held.contains(it.id) && !held_here.contains(it.id));
    });
    return own_domain;
}

bool view::has_settled(time_point now) const {
    return now >= m_settled_at;
}

std::pair<std::uint64_t, const peer*> view::newest_configuration(time_point now) const {
    std::pair<std::uint64_t, const peer*> newest{0, nullptr};
    for (const auto& [name, it] : m_peers) {
        if (is_live(it, now) && it.last_heartbeat.configuration_version > newest.first) {
            newest = {it.last_heartbeat.configuration_version, &it};
        }
    }
    return newest;
}

} // namespace savorytrail::fleet
