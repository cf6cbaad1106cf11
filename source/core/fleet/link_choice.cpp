#include "core/fleet/link_choice.h"

#include <algorithm>

namespace savorytrail::fleet {
namespace {

using common::time_point;

// A domain has at least this many relays, so that the loss of one cuts nobody off from the news.
constexpr std::size_t min_relays = 2;

using wishes = absl::flat_hash_map<const peer*, link_kind>;

void want(wishes& to, const peer* it, link_kind kind) {
    if (it != nullptr) {
        auto& wish = to[it];
        wish = std::max(wish, kind);
    }
}

// Wants links to `n` of the entries. Different entries choose different ones.
void want_some(wishes& to, const ranking& entries, std::size_t n, link_kind kind,
               std::uint64_t own_key) {
    const std::size_t size = entries.size();
    for (std::size_t i = 0; i < std::min(n, size); i++) {
        want(to, entries[(own_key + i) % size], kind);
    }
}

bool contains_self(const ranking& entries) {
    return std::find(entries.begin(), entries.end(), nullptr) != entries.end();
}

ranking acting_entries(const view& fleet, const link_choice_limits& by, time_point now) {
    auto entries = fleet.ranked(fleet.self().failure_domain, now);
    const auto acting = fleet.cell_count(fleet.domain_executors(now)) + by.standby_entries;
    entries.resize(std::min(acting, entries.size()));
    return entries;
}

void want_own_domain(wishes& to, const view& fleet, const link_choice_limits& by,
                     bool holds_executors, time_point now) {
    const auto& own = fleet.self();
    if (now - fleet.started() < by.start_time) {
        for (const auto& [name, it] : fleet.peers()) {
            if (fleet.is_in_own_domain(it)) {
                want(to, &it, link_kind::close);
            }
        }
        return;
    }
    if (holds_executors || is_acting(fleet, by, now)) {
        for (const auto* it : acting_entries(fleet, by, now)) {
            want(to, it, link_kind::close);
        }
        return;
    }
    want_some(to, relays(fleet, own.failure_domain, now), by.links_to_domain, link_kind::loose,
              fleet.self_key());
}

void want_other_domains(wishes& to, const view& fleet, const link_choice_limits& by,
                        time_point now) {
    const auto& own = fleet.self();
    if (!is_relay(fleet, now)) {
        return;
    }
    for (const auto& domain : fleet.live_domains(now)) {
        if (domain != own.failure_domain) {
            want_some(to, relays(fleet, domain, now), by.links_to_others, link_kind::loose,
                      fleet.self_key());
        }
    }
}

} // namespace

bool is_acting(const view& fleet, const link_choice_limits& by, time_point now) {
    return contains_self(acting_entries(fleet, by, now));
}

bool is_relay(const view& fleet, time_point now) {
    return contains_self(relays(fleet, fleet.self().failure_domain, now));
}

ranking relays(const view& fleet, const std::string& domain, time_point now) {
    auto entries = fleet.ranked(domain, now);
    std::size_t n = min_relays;
    if (domain == fleet.self().failure_domain) {
        n = std::max(n, fleet.cell_count(fleet.domain_executors(now)));
    } else {
        const auto dispatching = std::count_if(entries.begin(), entries.end(), [](const peer* it) {
            return it->status.load.capacity_cpu_millis > 0;
        });
        n = std::max(n, static_cast<std::size_t>(dispatching));
    }
    entries.resize(std::min(n, entries.size()));
    return entries;
}

void choose_links(view& fleet, const link_choice_limits& by, bool holds_executors, time_point now) {
    wishes wanted;
    want_own_domain(wanted, fleet, by, holds_executors, now);
    want_other_domains(wanted, fleet, by, now);
    for (auto& [name, it] : fleet.peers()) {
        if (view::is_in_use(it, now)) {
            want(wanted, &it, fleet.link_in_use(it));
        }
    }
    for (auto& [name, it] : fleet.peers()) {
        const auto found = wanted.find(&it);
        fleet.set_wanted(it, found == wanted.end() ? link_kind::none : found->second, now);
    }
}

} // namespace savorytrail::fleet
