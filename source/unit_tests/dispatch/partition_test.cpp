// Tests of the partitioning of executors among entries.
#include "core/dispatch/partition.h"

#include <gtest/gtest.h>

#include <map>

namespace savorytrail::dispatch {
namespace {

struct partition_case {
    int executors;
    int entries;
    std::uint32_t slots;
};

class partition : public testing::TestWithParam<partition_case> {};

TEST_P(partition, gives_each_executor_to_one_entry_and_divides_the_slots_evenly) {
    const auto& it = GetParam();
    manifest::upstream upstream;
    for (int i = 0; i < it.executors; i++)
        upstream.executors.push_back({"e" + std::to_string(i), "here", "vm", {}, it.slots, 60});
    upstream.executors.push_back({"far", "elsewhere", "vm", {}, 8, 60});
    std::vector<std::string> entries;
    entries.reserve(it.entries);
    for (int i = 0; i < it.entries; i++)
        entries.push_back("entry-" + std::to_string(i));

    std::map<std::string, int> owners;
    const std::uint32_t even =
        (static_cast<std::uint32_t>(it.executors) * it.slots + it.entries - 1) / it.entries;
    for (const auto& entry : entries) {
        std::uint32_t slots = 0;
        for (const auto& executor : owned_executors(upstream, "here", entry, entries)) {
            owners[executor.name]++;
            slots += executor.slots;
        }
        EXPECT_LT(slots, even + it.slots);
    }
    EXPECT_EQ(owners.size(), static_cast<std::size_t>(it.executors));
    for (const auto& [name, n] : owners)
        EXPECT_EQ(n, 1) << name;
}

INSTANTIATE_TEST_SUITE_P(table, partition,
                         testing::Values(partition_case{50, 1, 8}, partition_case{50, 7, 8},
                                         partition_case{16, 3, 8}, partition_case{2, 5, 8},
                                         partition_case{48, 6, 1}));

} // namespace
} // namespace savorytrail::dispatch
