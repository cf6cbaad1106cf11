#include "core/fleet/heartbeat_sender.h"

#include <algorithm>

#include "core/fleet/news_selection.h"

namespace savorytrail::fleet {

using common::milliseconds;
using common::time_point;

milliseconds heartbeat_sender::interval_of(link_kind kind) const {
    const auto& limits = m_fleet.limits();
    return kind == link_kind::close ? limits.close_link.interval : limits.loose_link.interval;
}

void heartbeat_sender::choose_links_if_due(bool holds_executors, time_point now) {
    if (m_links_chosen && now - *m_links_chosen < m_limits.link_choice_interval) {
        return;
    }
    m_links_chosen = now;
    choose_links(m_fleet, m_limits.links, holds_executors, now);
}

std::vector<std::string> heartbeat_sender::due_recipients(time_point now) {
    std::vector<std::string> recipients;
    for (auto& [name, it] : m_fleet.peers()) {
        const auto& link = it.link;
        // Until this entry claims executors, what it has not heard may be a lost datagram.
        const bool is_searching = !m_fleet.has_settled(now) && !it.last_heard;
        const bool is_due =
            link.kind != link_kind::none &&
            (is_searching || !link.last_sent || now - *link.last_sent >= interval_of(link.kind));
        if (is_due) {
            recipients.push_back(name);
        }
    }
    return recipients;
}

// Entries of its own domain, and of domains of which it knows no live entry; and those which it
// could not reach but others do.
bool heartbeat_sender::is_worth_a_probe(const peer& it, const std::set<std::string>& live_domains,
                                        time_point now) const {
    if (m_fleet.is_live(it, now)) {
        return false;
    }
    const auto& domain = it.identity.failure_domain;
    return domain == m_fleet.self().failure_domain || !live_domains.contains(domain) ||
           it.needs_heartbeat;
}

void heartbeat_sender::add_due_probes(std::vector<std::string>& recipients, time_point now) {
    if (m_probed && now - *m_probed < m_limits.probe_interval) {
        return;
    }
    m_probed = now;
    std::vector<std::string> lost;
    const auto live_domains = m_fleet.live_domains(now);
    for (const auto& [name, it] : m_fleet.peers()) {
        if (it.link.kind == link_kind::none && is_worth_a_probe(it, live_domains, now)) {
            lost.push_back(name);
        }
    }
    // In turn, from the one after the last.
    auto next = std::upper_bound(lost.begin(), lost.end(), m_last_probed);
    std::size_t n = std::min(lost.size(), 1 + lost.size() / m_limits.lost_entries_per_probe);
    for (; n > 0; n--) {
        if (next == lost.end()) {
            next = lost.begin();
        }
        m_last_probed = *next++;
        recipients.push_back(m_last_probed);
    }
}

std::vector<common::endpoint> heartbeat_sender::due_unidentified_hosts(time_point now) {
    std::vector<common::endpoint> due;
    std::erase_if(m_hosts_sent,
                  [&](const auto& it) { return !m_fleet.unidentified_hosts().contains(it.first); });
    for (const auto& host : m_fleet.unidentified_hosts()) {
        const auto [sent, is_first] = m_hosts_sent.try_emplace(host, now);
        if (is_first || now - sent->second >= m_limits.unidentified_host_interval) {
            sent->second = now;
            due.push_back({host, m_fleet.port()});
        }
    }
    return due;
}

std::vector<heartbeat_sender::outgoing>
heartbeat_sender::due(const std::vector<std::uint64_t>& held, time_point now) {
    choose_links_if_due(!held.empty(), now);
    auto recipients = due_recipients(now);
    add_due_probes(recipients, now);
    const auto hosts = due_unidentified_hosts(now);
    if (recipients.empty() && hosts.empty()) {
        return {};
    }
    const heartbeat common_part = make_common_part();
    std::vector<outgoing> list;
    list.reserve(hosts.size() + recipients.size());
    for (const auto& host : hosts) {
        list.push_back({host, "", false, common_part});
    }
    const news_selection news(m_fleet, is_relay(m_fleet, now), now);
    for (const auto& name : recipients) {
        auto& it = m_fleet.peers().at(name);
        it.link.last_sent = now;
        outgoing out{it.address, name, it.uses_previous_format, common_part};
        address_to(it, out.content, now);
        if (m_fleet.is_in_own_domain(it)) {
            out.content.held = held;
        }
        out.content.news = news.next(it, it.link);
        list.push_back(std::move(out));
    }
    return list;
}

heartbeat heartbeat_sender::make_common_part() {
    heartbeat it;
    it.sender = m_fleet.self();
    it.status = m_fleet.status();
    it.shared = m_fleet.shared();
    it.status.sequence = m_fleet.next_sequence();
    it.wanted_interval = interval_of(link_kind::loose); // of probes
    return it;
}

void heartbeat_sender::address_to(const peer& recipient, heartbeat& it, time_point now) const {
    if (recipient.last_heard) {
        it.heard_recipient = std::chrono::duration_cast<milliseconds>(now - *recipient.last_heard);
    }
    if (recipient.link.kind != link_kind::none) {
        it.wanted_interval = recipient.link.wanted == link_kind::none
                                 ? milliseconds(0)
                                 : interval_of(recipient.link.wanted);
    }
}

} // namespace savorytrail::fleet
