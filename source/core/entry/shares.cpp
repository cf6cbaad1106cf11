// The entry's shares of the executors.
#include "core/entry/shares.h"

#include <algorithm>

#include "core/dispatch/partition.h"

namespace savorytrail::entry {

std::vector<dispatch::executor_share> own_shares(const manifest::upstream& upstream,
                                                 const std::string& failure_domain,
                                                 const std::string& self,
                                                 const membership::directory& directory) {
    // This entry counts as live in its own eyes, whatever the lagging list says.
    auto entries = directory.live_entries(failure_domain);
    if (std::find(entries.begin(), entries.end(), self) == entries.end())
        entries.push_back(self);

    std::vector<dispatch::executor_share> shares;
    for (const auto& it : dispatch::owned_executors(upstream, failure_domain, self, entries)) {
        if (directory.takes_new_work(it.vm))
            shares.push_back({it, it.slots});
    }
    return shares;
}

} // namespace savorytrail::entry
