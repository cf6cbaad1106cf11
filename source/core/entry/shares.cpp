// The entry's shares of the executors.
#include "core/entry/shares.h"

#include <algorithm>
#include <set>

#include "core/dispatch/partition.h"

namespace savorytrail::entry {
namespace {

// The live entries of a region in order, this one included. Those of orphaned failure domains are
// left out at once, though each of them alone counts as live for longer.
std::vector<std::string> entries_of_region(const membership::view& view, common::time_point now) {
    std::vector<std::string> names{view.self().name};
    for (const auto& it : view.peers(now)) {
        if (it.region == view.self().region && it.state == membership::liveness::live &&
            !view.is_orphaned(it.failure_domain, now))
            names.push_back(it.name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

bool is_in_region(const manifest::executor& executor, const std::string& region,
                  const membership::directory& directory) {
    const auto vm = directory.find(executor.vm);
    return vm && vm->region == region;
}

} // namespace

share_basis make_share_basis(const manifest::versioned_manifest& manifest,
                             const membership::directory& directory, const membership::view& view,
                             common::time_point now) {
    share_basis basis;
    basis.configuration_version = manifest.version;
    basis.list_revision = directory.revision();
    // This entry counts as live in its own eyes, whatever the lagging list says.
    const auto& self = view.self();
    basis.entries[self.failure_domain] = view.live_entries(self.failure_domain, now);
    std::set<std::string> seen{self.failure_domain};
    for (const auto& upstream : manifest.value.upstreams) {
        for (const auto& it : upstream.executors) {
            const bool is_seen = !seen.insert(it.failure_domain).second;
            if (is_seen || !view.is_orphaned(it.failure_domain, now) ||
                !is_in_region(it, self.region, directory))
                continue;
            basis.entries[it.failure_domain] = entries_of_region(view, now);
        }
    }
    return basis;
}

std::vector<dispatch::executor_share> own_shares(const manifest::upstream& upstream,
                                                 const share_basis& basis,
                                                 const membership::node& self,
                                                 const membership::directory& directory) {
    std::vector<dispatch::executor_share> shares;
    for (const auto& [domain, entries] : basis.entries) {
        for (const auto& it : dispatch::owned_executors(upstream, domain, self.name, entries)) {
            // A task in flight holds a connection.
            if (directory.takes_new_work(it.vm))
                shares.push_back({it, std::min(it.slots, it.connections)});
        }
    }
    return shares;
}

} // namespace savorytrail::entry
