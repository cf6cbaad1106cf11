// Chooses the reader by rendezvous hashing.
#include "core/propagation/reader_choice.h"

#include "core/common/rendezvous.h"

namespace savorytrail::propagation {

std::optional<common::milliseconds> read_period(const std::string& failure_domain,
                                                const std::string& self,
                                                const std::vector<reader_candidate>& candidates,
                                                common::milliseconds poll) {
    std::vector<std::string> reachable;
    for (const auto& it : candidates) {
        if (it.platform_reachable)
            reachable.push_back(it.name);
        else if (it.name == self)
            return poll * candidates.size();
    }
    if (common::rendezvous_choice("reader of " + failure_domain, reachable) == self)
        return poll;
    return std::nullopt;
}

} // namespace savorytrail::propagation
