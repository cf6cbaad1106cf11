// Tests of the choice of a cell. Load patterns: many entries choose at the same time by the same
// loads, which are as old as the last heartbeats; capacity that is free in pieces.
#include "core/gateway/target_choice.h"

#include <gtest/gtest.h>

#include <map>

#include "unit_tests/cell/jobs.h"

namespace savorytrail::gateway {
namespace {

using common::milliseconds;

constexpr std::int64_t cell_cpu_millis = 1'536'000;

target make_target(const std::string& name, std::int64_t free_cpu_millis, bool is_own = true,
                   std::int64_t backlog_ms = 0) {
    return {name, is_own, {cell_cpu_millis, free_cpu_millis, backlog_ms}, 0};
}

// How often each target is chosen for a job of two tasks.
std::map<std::string, int> choose_often(const std::vector<target>& targets, int times) {
    common::seeded_random random(7);
    const auto job = cell::make_job("a", 2, milliseconds(200));
    std::map<std::string, int> counts;
    for (int i = 0; i < times; i++) {
        counts[targets.at(*choose_target(job, targets, random)).name]++;
    }
    return counts;
}

TEST(target_choice, of_no_targets_is_none) {
    common::seeded_random random(7);
    EXPECT_FALSE(choose_target(cell::make_job("a", 2, milliseconds(200)), {}, random));
}

// If all entries chose the first of them, it would be full while the others stand idle.
TEST(target_choice, spreads_over_cells_that_are_equally_free) {
    const auto counts = choose_often({make_target("a", 800'000), make_target("b", 800'000),
                                      make_target("c", 800'000), make_target("d", 800'000)},
                                     1000);
    ASSERT_EQ(counts.size(), 4U);
    for (const auto& [name, n] : counts) {
        EXPECT_GT(n, 200) << name;
    }
}

TEST(target_choice, prefers_the_cell_with_more_free_capacity) {
    auto counts = choose_often({make_target("a", 300'000), make_target("b", 1'200'000)}, 1000);
    EXPECT_GT(counts["b"], 700);
    EXPECT_GT(counts["a"], 50);
}

TEST(target_choice, counts_what_was_sent_since_the_load_was_reported) {
    auto busy = make_target("a", 400'000);
    busy.sent_since_heartbeat = 400'000;
    EXPECT_EQ(choose_often({busy, make_target("b", 400'000)}, 100)["b"], 100);
}

struct choice_case {
    const char* name;
    std::vector<target> targets;
    std::string chosen;
};

class target_choice_of : public testing::TestWithParam<choice_case> {};

TEST_P(target_choice_of, is) {
    EXPECT_EQ(choose_often(GetParam().targets, 50)[GetParam().chosen], 50);
}

INSTANTIATE_TEST_SUITE_P(
    table, target_choice_of,
    testing::Values(choice_case{"own_domain_with_room",
                                {make_target("own", 300'000), make_target("far", 1'500'000, false)},
                                "own"},
                    choice_case{
                        "other_domain_when_the_own_has_a_backlog",
                        {make_target("own", 0, true, 200), make_target("far", 1'500'000, false)},
                        "far"},
                    choice_case{"shorter_backlog",
                                {make_target("a", 0, true, 200), make_target("b", 0, true, 100)},
                                "b"}),
    [](const testing::TestParamInfo<choice_case>& it) { return std::string(it.param.name); });

} // namespace
} // namespace savorytrail::gateway
