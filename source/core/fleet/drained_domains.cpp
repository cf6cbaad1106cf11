#include "core/fleet/drained_domains.h"

#include <algorithm>

namespace savorytrail::fleet {

using common::milliseconds;
using common::time_point;

bool drained_domains::is_acceptable(const std::vector<std::string>& domains) const {
    return domains.size() <= m_limits.max_domains &&
           std::all_of(domains.begin(), domains.end(), [this](const std::string& it) {
               return !it.empty() && it.size() <= m_limits.max_name_length;
           });
}

drained_domains::change drained_domains::replace(std::uint64_t version, time_map since) {
    change it;
    for (auto& [domain, at] : since) {
        const auto known = m_since.find(domain);
        if (known == m_since.end()) {
            it.begun.push_back(domain);
        } else {
            at = std::min(at, known->second); // the grace is not granted anew
        }
    }
    for (const auto& [domain, at] : m_since) {
        if (!since.contains(domain)) {
            it.ended.push_back(domain);
        }
    }
    m_version = version;
    m_since = std::move(since);
    m_is_shared = m_is_shared || !m_since.empty();
    return it;
}

drained_domains::change drained_domains::read(std::uint64_t version,
                                              const std::vector<std::string>& domains,
                                              time_point now) {
    if (!is_acceptable(domains)) {
        return {{}, {}, true};
    }
    m_is_known = true;
    if (version < m_version) {
        return {};
    }
    time_map since;
    for (const auto& it : domains) {
        since[it] = now;
    }
    return replace(version, std::move(since));
}

drained_domains::change drained_domains::merge(const drain_state& it, time_point now) {
    if (it.version == 0) {
        return {}; // an entry that knows of no drain, or of an earlier version of this program
    }
    std::vector<std::string> names;
    time_map since;
    for (const auto& domain : it.domains) {
        names.push_back(domain.name);
        since[domain.name] = now - std::max(domain.known_for, milliseconds(0));
    }
    if (!is_acceptable(names)) {
        return {{}, {}, true};
    }
    m_is_shared = true;
    if (it.version > m_version) {
        return replace(it.version, std::move(since));
    }
    if (it.version == m_version) {
        for (auto& [domain, at] : m_since) {
            if (const auto told = since.find(domain); told != since.end()) {
                at = std::min(at, told->second);
            }
        }
    }
    return {};
}

std::optional<time_point> drained_domains::grace_until(const std::string& domain) const {
    const auto it = m_since.find(domain);
    return it == m_since.end() ? std::nullopt : std::optional(it->second + m_limits.grace);
}

bool drained_domains::may_finish_in(const std::string& domain, time_point now) const {
    const auto until = grace_until(domain);
    return !until || now < *until;
}

std::vector<std::string> drained_domains::names() const {
    std::vector<std::string> list;
    for (const auto& [domain, at] : m_since) {
        list.push_back(domain);
    }
    return list;
}

drain_state drained_domains::state(time_point now) const {
    drain_state it;
    if (!m_is_shared) {
        return it;
    }
    it.version = m_version;
    for (const auto& [domain, at] : m_since) {
        it.domains.push_back({domain, std::chrono::duration_cast<milliseconds>(now - at)});
    }
    return it;
}

} // namespace savorytrail::fleet
