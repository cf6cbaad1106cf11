// Division of executors by rendezvous hashing with bounded load.
#include "core/dispatch/partition.h"

#include <algorithm>
#include <map>

#include "core/common/rendezvous.h"

namespace savorytrail::dispatch {
namespace {

// The entry of the highest weight among those that still have room.
std::string choose_owner(const manifest::executor& executor,
                         const std::map<std::string, std::uint64_t>& room) {
    std::string owner;
    std::uint64_t highest = 0;
    for (const auto& [entry, slots] : room) {
        if (slots == 0)
            continue;
        const std::uint64_t n = common::rendezvous_weight(executor.name, entry);
        if (owner.empty() || n > highest) {
            owner = entry;
            highest = n;
        }
    }
    return owner;
}

} // namespace

std::vector<manifest::executor> owned_executors(const manifest::upstream& upstream,
                                                const std::string& failure_domain,
                                                const std::string& self,
                                                const std::vector<std::string>& entries) {
    std::map<std::string, manifest::executor> executors; // in an order that all entries share
    std::uint64_t slots = 0;
    for (const auto& it : upstream.executors) {
        if (it.failure_domain != failure_domain)
            continue;
        executors[it.name] = it;
        slots += it.slots;
    }
    std::map<std::string, std::uint64_t> room;
    for (const auto& it : entries)
        room[it] = 0;
    for (auto& [entry, left] : room)
        left = (slots + room.size() - 1) / room.size();

    std::vector<manifest::executor> owned;
    for (const auto& [name, it] : executors) {
        const auto owner = choose_owner(it, room);
        if (owner.empty())
            break;
        room[owner] -= std::min<std::uint64_t>(room[owner], it.slots);
        if (owner == self)
            owned.push_back(it);
    }
    return owned;
}

} // namespace savorytrail::dispatch
