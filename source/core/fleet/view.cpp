#include "core/fleet/view.h"

#include <algorithm>
#include <tuple>

namespace savorytrail::fleet {
namespace {

// A loose link on which no jobs depend may miss heartbeats for this many times its timeout, as long
// as others hear the entry.
constexpr int idle_link_patience = 2;

} // namespace

using common::milliseconds;
using common::time_point;

view::view(entry_identity self, std::uint16_t port, view_limits limits, time_point now)
    : m_self(std::move(self)), m_self_key(entry_key(m_self)), m_port(port), m_limits(limits),
      m_started(now), m_settled_at(now + limits.settle_time) {}

void view::note_entries_listed(time_point now) {
    m_settled_at = std::min(m_settled_at, now + m_limits.settle_time_after_listing);
}

void view::set_leaving() {
    m_status.is_leaving = true;
    m_derived_at.reset();
}

void view::set_status(entry_status it) {
    it.sequence = m_status.sequence;
    it.is_leaving = m_status.is_leaving;
    if (it.knows_executors != m_status.knows_executors) {
        m_derived_at.reset();
    }
    m_status = std::move(it);
}

void view::add_entry(const entry_info& it) {
    if (it.name == m_self.name || it.host.empty()) {
        return;
    }
    if (it.name.empty()) {
        m_unidentified_hosts.insert(it.host);
        return;
    }
    m_listed.insert(it.name);
    auto& entry = m_peers[it.name];
    if (entry.key != 0) {
        return; // what it told of itself takes precedence
    }
    entry.identity.name = it.name;
    entry.identity.failure_domain = it.failure_domain;
    entry.identity.host = it.host;
    entry.address = {it.host, m_port};
}

bool view::learn_identity(peer& it, const entry_identity& identity, time_point now,
                          learnt& result) {
    if (it.key != 0 && identity.incarnation <= it.identity.incarnation) {
        return false;
    }
    result.seen.push_back(identity.name);
    if (it.was_live || is_live(it, now)) {
        result.restarted.push_back(identity.name);
    }
    m_keys.erase(it.key);
    const auto link = it.link;
    it = peer();
    it.link = link;
    it.identity = identity;
    it.address = {identity.host, m_port};
    it.key = entry_key(identity);
    it.new_since = now;
    m_keys[it.key] = identity.name;
    m_unidentified_hosts.erase(identity.host);
    m_holdings_version++;
    return true;
}

void view::learn_status(peer& it, const entry_status& status, time_point sign, time_point now) {
    if (it.last_sign && status.sequence <= it.status.sequence) {
        return;
    }
    const bool did_dispatch = it.status.load.capacity_cpu_millis > 0;
    if (status.load.capacity_cpu_millis > 0 && !did_dispatch) {
        it.new_since = now;
    }
    if (it.status.adopted != status.adopted) {
        m_holdings_version++;
    }
    it.status = status;
    it.last_sign = it.last_sign ? std::max(*it.last_sign, sign) : sign;
}

view::learnt view::receive(const heartbeat& it, const std::string& host, time_point now) {
    learnt result;
    m_derived_at.reset();
    if (it.sender.name == m_self.name) {
        return result;
    }
    auto identity = it.sender;
    identity.host = host;
    auto& entry = m_peers[identity.name];
    if (learn_identity(entry, identity, now, result)) {
        entry.link.last_sent.reset(); // send it a heartbeat at once
    }
    const bool is_late = identity.incarnation < entry.identity.incarnation ||
                         (entry.last_heard && it.status.sequence <= entry.last_heard_sequence);
    if (is_late) {
        return result;
    }
    entry.address = {host, m_port};
    entry.last_heard = now;
    entry.last_heard_sequence = it.status.sequence;
    entry.heard_this_entry = it.heard_recipient;
    entry.is_disconnected = false;
    entry.needs_heartbeat = false;
    entry.uses_previous_format = false;
    if (entry.held != it.held) {
        entry.held = it.held;
        m_holdings_version++;
    }
    learn_status(entry, it.status, now, now);
    if (it.wanted_interval.count() > 0) {
        const bool is_close = it.wanted_interval <= m_limits.close_link.interval;
        entry.link.requested = is_close ? link_kind::close : link_kind::loose;
        entry.link.requested_until = now + m_limits.request_validity;
    }
    update_link(entry, now);
    result.updated.push_back(identity.name);
    for (const auto& news : it.news) {
        receive_news(news, now, result);
    }
    return result;
}

view::learnt view::receive(const previous_heartbeat& it, const std::string& host, time_point now) {
    auto content = it.content;
    const bool is_own_domain = content.sender.failure_domain == m_self.failure_domain;
    content.wanted_interval =
        is_own_domain ? m_limits.close_link.interval : m_limits.loose_link.interval;
    auto result = receive(content, host, now);
    if (const auto found = m_peers.find(content.sender.name); found != m_peers.end()) {
        found->second.uses_previous_format = true;
    }
    for (const auto& known : it.known) {
        add_entry(known);
    }
    return result;
}

void view::receive_news(const entry_news& it, time_point now, learnt& result) {
    if (it.identity) {
        if (it.identity->name.empty() || it.identity->name == m_self.name) {
            return;
        }
        learn_identity(m_peers[it.identity->name], *it.identity, now, result);
    }
    const auto known = m_keys.find(it.key);
    if (known == m_keys.end()) {
        return;
    }
    auto& entry = m_peers.at(known->second);
    if (entry.last_sign && it.status.sequence <= entry.status.sequence) {
        return;
    }
    // News leave out what an entry asks only of those that it has a link to.
    auto status = it.status;
    status.configuration_version = entry.status.configuration_version;
    status.configuration_age = entry.status.configuration_age;
    status.executor_list_age = entry.status.executor_list_age;
    status.executor_list_version = entry.status.executor_list_version;
    status.domain_executors = entry.status.domain_executors;
    learn_status(entry, status, now - it.age, now);
    result.updated.push_back(known->second);
}

void view::note_connection_lost(const std::string& name) {
    m_derived_at.reset();
    if (const auto it = m_peers.find(name); it != m_peers.end()) {
        it->second.is_disconnected = true;
    }
}

void view::note_in_use(const std::string& name, time_point now) {
    if (const auto it = m_peers.find(name); it != m_peers.end()) {
        auto& entry = it->second;
        const bool was_in_use = is_in_use(entry, now);
        entry.link.in_use_until = now + m_limits.use_validity;
        if (!was_in_use) {
            set_wanted(entry, link_in_use(entry), now);
        }
    }
}

const peer* view::find(const std::string& name) const {
    const auto it = m_peers.find(name);
    return it == m_peers.end() ? nullptr : &it->second;
}

void view::note_stall(milliseconds duration, time_point now) {
    m_derived_at.reset();
    const auto shift = [&](std::optional<time_point>& at) {
        if (at) {
            at = std::min(now, *at + duration);
        }
    };
    for (auto& [name, it] : m_peers) {
        shift(it.last_heard);
        shift(it.last_sign);
        shift(it.link.wanted_since);
        shift(it.link.since);
    }
}

void view::set_wanted(peer& it, link_kind kind, time_point now) {
    if (it.link.wanted != kind) {
        m_derived_at.reset();
        if (it.link.wanted == link_kind::none) {
            it.link.wanted_since = now;
        }
        it.link.wanted = kind;
    }
    update_link(it, now);
}

void view::update_link(peer& it, time_point now) {
    auto& link = it.link;
    if (now >= link.requested_until) {
        link.requested = link_kind::none;
    }
    const auto kind = std::max(link.wanted, link.requested);
    if (kind == link_kind::close && link.kind != link_kind::close) {
        link.close_since = now;
    }
    if (kind != link_kind::none && link.kind == link_kind::none) {
        link.since = now;
        link.introduced = 0;
    }
    if (kind == link_kind::none) {
        link.since.reset();
    }
    link.kind = kind;
}

milliseconds view::timeout_of(const peer& it, time_point now) const {
    if (it.is_disconnected) {
        return limits_of(it.link.kind).timeout_disconnected;
    }
    // The other entry needs a moment to learn that the link is to be close.
    const bool is_close = it.link.kind == link_kind::close &&
                          now - it.link.close_since >= m_limits.close_link.timeout;
    return limits_of(is_close ? link_kind::close : link_kind::loose).timeout;
}

milliseconds view::news_timeout() const {
    const auto entries = static_cast<std::int64_t>(m_peers.size());
    return std::max(m_limits.min_news_timeout, m_limits.news_timeout_per_entry * entries);
}

bool view::hears_this_entry(const peer& it, time_point now) const {
    const bool is_idle = it.link.kind == link_kind::loose && !is_in_use(it, now);
    const auto limit = limits_of(it.link.kind).timeout * (is_idle ? idle_link_patience : 1);
    const bool is_new_link = !it.link.since || now - *it.link.since < 2 * limit;
    if (is_new_link) {
        return true; // it may not have received a heartbeat of this entry for long, or ever
    }
    return it.heard_this_entry && *it.heard_this_entry <= limit;
}

bool view::is_heard_by_others(const peer& it, time_point now) const {
    const auto timeout = m_limits.loose_link.timeout;
    return it.link.kind == link_kind::loose && !is_in_use(it, now) && !it.is_disconnected &&
           it.last_heard && now - *it.last_heard <= idle_link_patience * timeout &&
           now - *it.last_sign <= timeout;
}

bool view::is_live(const peer& it, time_point now) const {
    if (it.last_heard && now - *it.last_heard <= timeout_of(it, now)) {
        // An entry that does not receive this one's heartbeats counts as lost: jobs forwarded to it
        // would not arrive either.
        return hears_this_entry(it, now);
    }
    if (it.needs_heartbeat || !it.last_sign) {
        return false;
    }
    if (it.link.wanted != link_kind::none) {
        const auto since = *it.link.wanted_since;
        const bool was_heard = it.last_heard && *it.last_heard >= since;
        if (was_heard || now - since > limits_of(it.link.wanted).timeout) {
            return is_heard_by_others(it, now); // its heartbeats are wanted, and stay out
        }
    }
    const auto timeout =
        it.is_disconnected ? m_limits.loose_link.timeout_disconnected : news_timeout();
    return now - *it.last_sign <= timeout;
}

bool view::is_live(const std::string& name, time_point now) const {
    const auto* it = find(name);
    return it != nullptr && is_live(*it, now);
}

bool view::is_deaf(const peer& it, time_point now) const {
    return it.last_heard && now - *it.last_heard <= timeout_of(it, now) &&
           !hears_this_entry(it, now);
}

bool view::is_followed(const peer& it) const {
    return it.link.kind != link_kind::none || is_in_own_domain(it);
}

std::vector<std::string> view::refresh(time_point now) {
    m_derived_at.reset();
    std::vector<std::string> lost;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        auto& entry = it->second;
        update_link(entry, now);
        const bool live = is_live(entry, now);
        if (live != entry.was_live && !(entry.held.empty() && entry.status.adopted.empty())) {
            m_holdings_version++;
        }
        if (entry.was_live && !live) {
            entry.needs_heartbeat = entry.link.wanted != link_kind::none;
            if (is_followed(entry)) {
                lost.push_back(it->first);
            }
        }
        entry.was_live = live;
        const bool is_forgotten = !live && entry.last_sign &&
                                  now - *entry.last_sign > m_limits.forget_after &&
                                  !m_listed.contains(it->first);
        if (is_forgotten) {
            m_keys.erase(entry.key);
            it = m_peers.erase(it);
        } else {
            ++it;
        }
    }
    return lost;
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

const std::set<std::string>& view::live_domains(time_point now) const {
    return derive(now).live_domains;
}

bool view::has_live_entry(const std::string& domain, time_point now) const {
    return domain == m_self.failure_domain ||
           std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& it) {
               return it.second.identity.failure_domain == domain && is_live(it.second, now);
           });
}

absl::flat_hash_set<std::uint64_t> view::held_by_others(time_point now) const {
    absl::flat_hash_set<std::uint64_t> held;
    for (const auto& [name, it] : m_peers) {
        if (is_live(it, now)) {
            held.insert(it.held.begin(), it.held.end());
            held.insert(it.status.adopted.begin(), it.status.adopted.end());
        }
    }
    return held;
}

const view::derived& view::derive(time_point now) const {
    if (m_derived_at == now) {
        return m_derived;
    }
    // Entries that know the executors first, then those with the larger CPU share, then those that
    // have run for longest.
    using rank = std::tuple<bool, std::int64_t, std::uint64_t, std::string_view>;
    using candidate = std::pair<rank, const peer*>;
    std::map<std::string_view, std::vector<candidate>> candidates;
    const auto add = [&](const entry_identity& identity, const entry_status& status,
                         const peer* it) {
        if (!status.is_leaving) {
            const rank its_rank(!status.knows_executors, -std::int64_t{identity.cpu_share_millis},
                                identity.incarnation, identity.name);
            candidates[identity.failure_domain].emplace_back(its_rank, it);
        }
    };
    add(m_self, m_status, nullptr);
    for (const auto& [name, it] : m_peers) {
        if (it.key != 0 && is_live(it, now)) {
            add(it.identity, it.status, &it);
        }
    }
    m_derived = {};
    for (auto& [domain, list] : candidates) {
        std::sort(list.begin(), list.end());
        auto& entries = m_derived.rankings[std::string(domain)];
        entries.reserve(list.size());
        for (const auto& it : list) {
            entries.push_back(it.second);
        }
        m_derived.live_domains.emplace(domain);
    }
    m_derived_at = now;
    return m_derived;
}

const ranking& view::ranked(const std::string& domain, time_point now) const {
    static const ranking s_none;
    const auto& rankings = derive(now).rankings;
    const auto it = rankings.find(domain);
    return it == rankings.end() ? s_none : it->second;
}

std::size_t view::cell_count(std::size_t executor_count) const {
    return std::max<std::size_t>(1, (executor_count + m_limits.executors_per_cell / 2) /
                                        m_limits.executors_per_cell);
}

std::vector<std::string> view::dispatchers(const std::string& domain, std::size_t executor_count,
                                           time_point now) const {
    const auto& candidates = ranked(domain, now);
    const auto n = std::min(candidates.size(), cell_count(executor_count));
    std::vector<std::string> names;
    for (std::size_t i = 0; i < n; i++) {
        names.push_back(candidates[i] == nullptr ? m_self.name : candidates[i]->identity.name);
    }
    return names;
}

std::size_t view::domain_executors(time_point now) const {
    const auto* newest = &m_status;
    for (const auto& [name, it] : m_peers) {
        if (is_in_own_domain(it) &&
            it.status.executor_list_version > newest->executor_list_version && is_live(it, now)) {
            newest = &it.status;
        }
    }
    return newest->domain_executors;
}

bool view::has_settled(time_point now) const {
    return now >= m_settled_at;
}

std::vector<const peer*> view::with_newer_configuration(std::uint64_t version,
                                                        time_point now) const {
    auto list = live_peers(now);
    std::erase_if(list,
                  [&](const peer* it) { return it->status.configuration_version <= version; });
    return list;
}

std::vector<const peer*> view::with_newer_executor_list(std::uint64_t version,
                                                        time_point now) const {
    auto list = live_peers(now);
    std::erase_if(list,
                  [&](const peer* it) { return it->status.executor_list_version <= version; });
    return list;
}

} // namespace savorytrail::fleet
