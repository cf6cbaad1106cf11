// Partitioning of executors by rendezvous hashing with bounded load.
#include "core/dispatch/partition.h"

#include <algorithm>
#include <map>

#include "core/common/rendezvous.h"

namespace savorytrail::dispatch {
namespace {

// The entry of the highest weight among those that still have free slots.
std::string choose_owner(const manifest::executor& executor,
                         const std::map<std::string, std::uint64_t>& free_slots) {
    std::string owner;
    std::uint64_t highest = 0;
    for (const auto& [entry, slots] : free_slots) {
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
    std::map<std::string, manifest::executor> executors; // by name: in the same order everywhere
    std::uint64_t slots = 0;
    for (const auto& it : upstream.executors) {
        if (it.failure_domain != failure_domain)
            continue;
        executors[it.name] = it;
        slots += it.slots;
    }
    std::map<std::string, std::uint64_t> free_slots;
    for (const auto& it : entries)
        free_slots[it] = 0;
    for (auto& [entry, left] : free_slots)
        left = (slots + free_slots.size() - 1) / free_slots.size();

    std::vector<manifest::executor> owned;
    for (const auto& [name, it] : executors) {
        const auto owner = choose_owner(it, free_slots);
        if (owner.empty())
            break;
        free_slots[owner] -= std::min<std::uint64_t>(free_slots[owner], it.slots);
        if (owner == self)
            owned.push_back(it);
    }
    return owned;
}

} // namespace savorytrail::dispatch
