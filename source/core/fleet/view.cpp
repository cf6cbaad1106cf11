#include "core/fleet/view.h"

#include <algorithm>
#include <tuple>

#include "core/common/rendezvous.h"

namespace savorytrail::fleet {

using common::milliseconds;
using common::time_point;

view::view(heartbeat self, std::uint16_t port, view_limits limits, time_point now)
    : m_self(std::move(self)), m_port(port), m_limits(limits), m_started(now),
      m_settled_at(now + limits.settling) {}

void view::note_entries_listed(time_point now) {
    m_settled_at = std::min(m_settled_at, now + m_limits.settling_introduced);
}

void view::add_entry(const entry_info& it) {
    if (it.name == m_self.name || it.host.empty()) {
        return;
    }
    if (it.name.empty()) {
        m_unnamed.insert(it.host);
        return;
    }
    auto& entry = m_peers[it.name];
    if (entry.last_heard) {
        return; // its own word counts more
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
    const bool is_new = !entry.last_heard || it.incarnation > entry.last.incarnation;
    if (!is_new &&
        (it.incarnation < entry.last.incarnation || it.sequence <= entry.last.sequence)) {
        return false;
    }
    entry.name = it.name;
    entry.failure_domain = it.failure_domain;
    entry.address = {host, m_port};
    entry.last = it;
    entry.last_heard = now;
    entry.is_broken = false;
    if (is_new) {
        entry.last_sent.reset(); // it is to hear of this entry at once
    }
    m_unnamed.erase(host);
    for (const auto& known : it.known) {
        add_entry(known);
    }
    return is_new;
}

void view::note_broken(const std::string& name) {
    if (const auto it = m_peers.find(name); it != m_peers.end()) {
        it->second.is_broken = true;
    }
}

const peer* view::find(const std::string& name) const {
    const auto it = m_peers.find(name);
    return it == m_peers.end() ? nullptr : &it->second;
}

void view::note_stall(milliseconds time, time_point now) {
    for (auto& [name, it] : m_peers) {
        if (it.last_heard) {
            it.last_heard = std::min(now, *it.last_heard + time);
        }
    }
}

milliseconds view::silence_limit(const peer& it) const {
    if (it.is_broken) {
        return is_near(it) ? m_limits.near_silence_broken : m_limits.far_silence_broken;
    }
    return is_near(it) ? m_limits.near_silence : m_limits.far_silence;
}

bool view::is_live(const peer& it, time_point now) const {
    const auto limit = is_near(it) ? m_limits.near_silence : m_limits.far_silence;
    if (!it.last_heard || now - *it.last_heard > silence_limit(it)) {
        return false;
    }
    // An entry that does not hear this one is as good as lost: nothing passed to it would arrive.
    const auto heard = it.last.heard.find(m_self.name);
    if (heard != it.last.heard.end()) {
        return heard->second <= limit;
    }
    return now - m_started < 2 * limit || it.last.sequence < 3;
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
        if (!it.last.is_leaving && is_live(it, now)) {
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
            held.insert(it.last.held.begin(), it.last.held.end());
            held.insert(it.last.adopted.begin(), it.last.adopted.end());
        }
    }
    return held;
}

std::vector<std::string> view::take_lost(time_point now) {
    std::vector<std::string> lost;
    for (const auto& [name, it] : m_peers) {
        if (is_live(it, now)) {
            m_were_live.insert(name);
        } else if (m_were_live.erase(name) > 0) {
            lost.push_back(name);
        }
    }
    return lost;
}

std::vector<view::outgoing> view::due_heartbeats(const heartbeat& own, time_point now) {
    outgoing near{own, {}};
    outgoing far{own, {}};
    far.content.held.clear();
    for (const auto& [name, it] : m_peers) {
        if (it.last_heard) {
            const auto ago = std::chrono::duration_cast<milliseconds>(now - *it.last_heard);
            near.content.heard[name] = ago;
            near.content.known.push_back({name, it.failure_domain, it.address.host});
        }
    }
    far.content.heard = near.content.heard;
    for (auto& [name, it] : m_peers) {
        const bool is_heard = it.last_heard && now - *it.last_heard < 4 * m_limits.far_silence;
        auto period = is_near(it) ? m_limits.near_period : m_limits.far_period;
        if (!is_heard && now - m_started > 2 * m_limits.unheard_period) {
            period = m_limits.unheard_period;
        }
        if (it.last_sent && now - *it.last_sent < period) {
            continue;
        }
        it.last_sent = now;
        (is_near(it) ? near : far).recipients.push_back(it.address);
    }
    for (const auto& host : m_unnamed) {
        auto& sent = m_unnamed_sent[host];
        if (now - sent >= m_limits.far_period) {
            sent = now;
            far.recipients.push_back({host, m_port});
        }
    }
    m_sequence++;
    near.content.sequence = m_sequence;
    far.content.sequence = m_sequence;
    return {near, far};
}

std::vector<std::string> view::dispatchers(const std::string& domain, std::size_t executors,
                                           time_point now) const {
    // Those that know executors first, then large ones, then those that have run for longest.
    using order = std::tuple<bool, std::int64_t, std::uint64_t, std::string>;
    std::vector<order> candidates;
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
            add(it.last);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    const std::size_t cells = std::max<std::size_t>(
        1, (executors + m_limits.executors_per_cell / 2) / m_limits.executors_per_cell);
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
                                                     const std::set<std::string>& mine,
                                                     time_point now) const {
    std::vector<work::executor_info> near;
    for (const auto& it : listed) {
        if (it.failure_domain == m_self.failure_domain) {
            near.push_back(it);
        }
    }
    const auto names = dispatchers(m_self.failure_domain, near.size(), now);
    const auto held = held_by_others(now);
    std::erase_if(near, [&](const work::executor_info& it) {
        return common::rendezvous_choice(it.id, names) != m_self.name ||
               (held.contains(it.id) && !mine.contains(it.id));
    });
    return near;
}

bool view::has_settled(time_point now) const {
    return now >= m_settled_at;
}

std::pair<std::uint64_t, const peer*> view::newest_configuration(time_point now) const {
    std::pair<std::uint64_t, const peer*> newest{0, nullptr};
    for (const auto& [name, it] : m_peers) {
        if (is_live(it, now) && it.last.configuration_version > newest.first) {
            newest = {it.last.configuration_version, &it};
        }
    }
    return newest;
}

} // namespace savorytrail::fleet
