#include "core/route/route_table.h"

#include <algorithm>
#include <set>

#include "absl/strings/ascii.h"

namespace savorytrail::route {
namespace {

std::string lower_case(std::string_view host) {
    return absl::AsciiStrToLower(absl::string_view(host.data(), host.size()));
}

} // namespace

std::optional<std::string> find_defect(const configuration& it) {
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto& route : it.routes) {
        if (!route.prefix.starts_with('/')) {
            return "the prefix \"" + route.prefix + "\" of host " + route.host + " is no path";
        }
        if (!seen.emplace(lower_case(route.host), route.prefix).second) {
            return "host " + route.host + " has two routes for the prefix \"" + route.prefix + "\"";
        }
    }
    return std::nullopt;
}

bool route_table::adopt(configuration newer) {
    if (newer.version <= m_configuration.version) {
        return false;
    }
    m_configuration = std::move(newer);
    index_routes();
    return true;
}

void route_table::index_routes() {
    m_hosts.clear();
    for (std::size_t i = 0; i < m_configuration.routes.size(); i++) {
        const auto& it = m_configuration.routes[i];
        auto& host = m_hosts[lower_case(it.host)];
        host.by_prefix.emplace(it.prefix, i);
        host.prefix_lengths.push_back(it.prefix.size());
    }
    for (auto& [name, host] : m_hosts) {
        auto& lengths = host.prefix_lengths;
        std::sort(lengths.begin(), lengths.end(), std::greater<>());
        lengths.erase(std::unique(lengths.begin(), lengths.end()), lengths.end());
    }
}

const route* route_table::find_queue(std::string_view name) const {
    const auto it = std::find_if(m_configuration.routes.begin(), m_configuration.routes.end(),
                                 [name](const route& r) { return r.queue.name == name; });
    return it == m_configuration.routes.end() ? nullptr : &*it;
}

const route* route_table::find(std::string_view host, std::string_view path) const {
    const auto known = m_hosts.find(lower_case(host.substr(0, host.find(':'))));
    if (known == m_hosts.end()) {
        return nullptr;
    }
    for (const auto length : known->second.prefix_lengths) {
        if (length > path.size()) {
            continue;
        }
        const auto it = known->second.by_prefix.find(absl::string_view(path.data(), length));
        if (it != known->second.by_prefix.end()) {
            return &m_configuration.routes[it->second];
        }
    }
    return nullptr;
}

} // namespace savorytrail::route
