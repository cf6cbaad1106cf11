// Matches hosts and path prefixes.
#include "core/route/route_table.h"

#include "absl/strings/match.h"

namespace savorytrail::route {

bool route_table::adopt(configuration newer) {
    if (newer.version <= m_configuration.version) {
        return false;
    }
    m_configuration = std::move(newer);
    return true;
}

const route* route_table::find(std::string_view host, std::string_view path) const {
    host = host.substr(0, host.find(':'));
    const route* best = nullptr;
    for (const auto& it : m_configuration.routes) {
        if (!absl::EqualsIgnoreCase(it.host, absl::string_view(host.data(), host.size())) ||
            !path.starts_with(it.prefix)) {
            continue;
        }
        if (best == nullptr || it.prefix.size() > best->prefix.size()) {
            best = &it;
        }
    }
    return best;
}

} // namespace savorytrail::route
