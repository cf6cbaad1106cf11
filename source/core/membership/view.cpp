// Implementation of liveness, flap damping and the fleet's reported state.
#include "core/membership/view.h"

#include <algorithm>
#include <tuple>

namespace savorytrail::membership {
namespace {

using platform::vm_state;

constexpr std::size_t max_replaced_incarnations = 4;
constexpr std::size_t max_reported_elements = 1024; // upstreams or teams of one entry
constexpr common::milliseconds flap_window{300000};
constexpr int min_recovery_heartbeats = 2;
constexpr int max_recovery_doublings = 3;

} // namespace

void view::update(const std::vector<platform::vm>& entries, common::time_point now) {
    const std::lock_guard lock(m_mutex);
    absl::flat_hash_map<std::uint32_t, record> next;
    m_is_list_known = true;
    m_is_self_listed = false;
    for (const auto& it : entries) {
        if (it.name == m_self.name) {
            m_is_self_listed = it.state == vm_state::live;
            continue;
        }
        if (it.state == vm_state::gone || !it.address)
            continue;
        const auto number = submission::vm_number(it.name);
        const auto known = m_records.find(number);
        record value;
        value.listed_since = now;
        if (known != m_records.end())
            value = std::move(known->second);
        value.vm = it;
        next.emplace(number, std::move(value));
    }
    m_records = std::move(next);
}

bool view::receive(const heartbeat& it, common::time_point now) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(it.vm);
    if (found == m_records.end())
        return false;
    auto& known = found->second;
    if (!accept_in_order(known, it))
        return false;

    update_recovery(known, now);
    known.last = it;
    known.last_heard = now;
    for (const auto& reported : it.idle) {
        if (known.idle.size() < max_reported_elements || known.idle.contains(reported.upstream))
            known.idle[reported.upstream] = {reported.slots, now};
    }
    for (const auto& reported : it.demand) {
        if (known.demand.size() < max_reported_elements || known.demand.contains(reported.team))
            known.demand[reported.team] = {reported, now};
    }
    return true;
}

// A new incarnation replaces the known one permanently, so that delayed datagrams of the replaced
// one are ignored.
bool view::accept_in_order(record& it, const heartbeat& received) const {
    if (!it.last_heard)
        return true;
    if (received.incarnation == it.last.incarnation)
        return received.sequence > it.last.sequence;
    if (std::find(it.replaced_incarnations.begin(), it.replaced_incarnations.end(),
                  received.incarnation) != it.replaced_incarnations.end())
        return false;
    it.replaced_incarnations.push_back(it.last.incarnation);
    if (it.replaced_incarnations.size() > max_replaced_incarnations)
        it.replaced_incarnations.erase(it.replaced_incarnations.begin());
    it.last_heard.reset();
    it.recovery_heartbeats = 0;
    it.idle.clear();
    it.demand.clear();
    return true;
}

void view::update_recovery(record& it, common::time_point now) const {
    if (it.recovery_heartbeats > 0)
        it.recovery_heartbeats--;
    if (!it.last_heard || now - *it.last_heard <= silence_limit(it))
        return;
    if (now - it.last_flap > flap_window)
        it.flaps = 0;
    it.recovery_heartbeats = min_recovery_heartbeats << std::min(it.flaps, max_recovery_doublings);
    it.flaps++;
    it.last_flap = now;
}

common::milliseconds view::silence_limit(const record& it) const {
    return it.vm.failure_domain == m_self.failure_domain ? m_limits.suspect_after
                                                         : m_limits.suspect_other_after;
}

liveness view::evaluate_liveness(const record& it, common::time_point now) const {
    if (it.vm.state != vm_state::live)
        return liveness::leaving;
    if (it.last_heard && it.last.state != entry_state::serving)
        return liveness::leaving;
    if (it.recovery_heartbeats > 0)
        return liveness::suspected;
    const auto since = it.last_heard.value_or(it.listed_since);
    return now - since <= silence_limit(it) ? liveness::live : liveness::suspected;
}

peer_status view::status(const record& it, common::time_point now) const {
    peer_status value;
    value.name = it.vm.name;
    value.number = submission::vm_number(it.vm.name);
    value.failure_domain = it.vm.failure_domain;
    value.region = it.vm.region;
    value.address = *it.vm.address;
    value.state = evaluate_liveness(it, now);
    value.last_heard = it.last_heard;
    value.last = it.last;
    return value;
}

std::optional<peer_status> view::find(const std::string& name, common::time_point now) const {
    const std::lock_guard lock(m_mutex);
    const auto it = m_records.find(submission::vm_number(name));
    return it == m_records.end() ? std::nullopt : std::optional(status(it->second, now));
}

std::vector<peer_status> view::peers(common::time_point now) const {
    std::vector<peer_status> values;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [number, it] : m_records)
            values.push_back(status(it, now));
    }
    std::sort(values.begin(), values.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    return values;
}

std::vector<std::string> view::live_entries(const std::string& failure_domain,
                                            common::time_point now) const {
    std::vector<std::string> names;
    if (failure_domain == m_self.failure_domain)
        names.push_back(m_self.name);
    const std::lock_guard lock(m_mutex);
    for (const auto& [number, it] : m_records) {
        if (it.vm.failure_domain == failure_domain && evaluate_liveness(it, now) == liveness::live)
            names.push_back(it.vm.name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

bool view::is_orphaned(const std::string& failure_domain, common::time_point now) const {
    const std::lock_guard lock(m_mutex);
    if (failure_domain == m_self.failure_domain || !m_is_list_known)
        return false;
    return std::none_of(m_records.begin(), m_records.end(), [&](const auto& element) {
        const auto& it = element.second;
        if (it.vm.failure_domain != failure_domain ||
            evaluate_liveness(it, now) == liveness::leaving)
            return false;
        return now - it.last_heard.value_or(it.listed_since) <= m_limits.orphan_after;
    });
}

std::vector<idle_slots> view::idle(std::uint32_t upstream, common::milliseconds max_age,
                                   common::time_point now) const {
    std::vector<idle_slots> values;
    const std::lock_guard lock(m_mutex);
    for (const auto& [number, it] : m_records) {
        const auto reported = it.idle.find(upstream);
        if (reported == it.idle.end() || now - reported->second.at > max_age ||
            evaluate_liveness(it, now) != liveness::live)
            continue;
        values.push_back({it.vm.name, upstream, reported->second.value});
    }
    std::sort(values.begin(), values.end(),
              [](const auto& a, const auto& b) { return a.vm < b.vm; });
    return values;
}

std::vector<entry_demand> view::demand(common::milliseconds max_age, common::time_point now) const {
    std::vector<entry_demand> values;
    const std::lock_guard lock(m_mutex);
    for (const auto& [number, it] : m_records) {
        if (evaluate_liveness(it, now) == liveness::leaving)
            continue;
        for (const auto& [team, reported] : it.demand) {
            if (now - reported.at <= max_age)
                values.push_back({it.vm.name, reported.demand});
        }
    }
    std::sort(values.begin(), values.end(), [](const auto& a, const auto& b) {
        return std::tie(a.vm, a.demand.team) < std::tie(b.vm, b.demand.team);
    });
    return values;
}

std::size_t view::listed_entries() const {
    const std::lock_guard lock(m_mutex);
    const auto n = std::count_if(m_records.begin(), m_records.end(), [](const auto& element) {
        return element.second.vm.state == vm_state::live;
    });
    return static_cast<std::size_t>(n) + (m_is_self_listed ? 1 : 0);
}

} // namespace savorytrail::membership
