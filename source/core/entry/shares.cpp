// Computes the executors that this entry may use.
#include "core/entry/shares.h"

#include <algorithm>
#include <set>

#include "core/dispatch/partition.h"

namespace savorytrail::entry {
namespace {

// Returns the live entries of this entry's region, sorted, this one included. Entries of orphaned
// failure domains are excluded at once, although each of them still counts as live for a while.
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

share_inputs collect_share_inputs(const manifest::versioned_manifest& manifest,
                                  const membership::directory& directory,
                                  const membership::view& view, common::time_point now) {
    share_inputs inputs;
    inputs.configuration_version = manifest.version;
    inputs.list_revision = directory.revision();
    // This entry counts itself as live, even if the live list, which may lag, does not yet.
    const auto& self = view.self();
    inputs.entries[self.failure_domain] = view.live_entries(self.failure_domain, now);
    std::set<std::string> seen{self.failure_domain};
    for (const auto& upstream : manifest.value.upstreams) {
        for (const auto& it : upstream.executors) {
            const bool is_seen = !seen.insert(it.failure_domain).second;
            if (is_seen || !view.is_orphaned(it.failure_domain, now) ||
                !is_in_region(it, self.region, directory))
                continue;
            inputs.entries[it.failure_domain] = entries_of_region(view, now);
        }
    }
    return inputs;
}

std::vector<dispatch::executor_share> compute_own_shares(const manifest::upstream& upstream,
                                                         const share_inputs& inputs,
                                                         const membership::node& self,
                                                         const membership::directory& directory) {
    std::vector<dispatch::executor_share> shares;
    for (const auto& [domain, entries] : inputs.entries) {
        for (const auto& it : dispatch::owned_executors(upstream, domain, self.name, entries)) {
            // Each task in flight holds a connection, so connections limit the slots too.
            if (directory.takes_new_work(it.vm))
                shares.push_back({it, std::min(it.slots, it.connections)});
        }
    }
    return shares;
}

} // namespace savorytrail::entry
