// Load pattern: all entries of a fleet restart at once, and callers come back before any of them
// holds executors. Tests that claims succeed as soon as the executors answer.
#include <gtest/gtest.h>

#include "core/cell/dispatcher.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

struct fence_case {
    const char* name;
    int repeated_claims;         // of the process that has ended
    milliseconds time_between{}; // from its last claim to that of its successor
};

class the_fences : public testing::TestWithParam<fence_case> {};

// The fences of 16 first claims ran 30 s ahead of the clock, so that a process that started within
// that time was rejected by most executors.
TEST_P(the_fences, of_a_successor_are_higher_by_the_second_claim) {
    constexpr std::int64_t start_ms = 1'000'000;
    constexpr int executors = 16;
    fence_sequence ended(200);
    std::int64_t highest = 0;
    for (int i = 0; i < executors; i++) {
        highest = std::max(highest, ended.next(claim_attempt::first, start_ms));
    }
    for (int i = 0; i < GetParam().repeated_claims; i++) {
        highest = ended.next(claim_attempt::repeated, start_ms);
    }
    fence_sequence successor(100);
    const auto later_ms = start_ms + GetParam().time_between.count();
    const auto first = successor.next(claim_attempt::first, later_ms);
    if (GetParam().repeated_claims == 0) {
        EXPECT_GT(first, highest);
    }
    EXPECT_GT(successor.next(claim_attempt::repeated, later_ms), highest);
}

INSTANTIATE_TEST_SUITE_P(claims, the_fences,
                         testing::Values(fence_case{"after_a_second", 0, milliseconds(1000)},
                                         fence_case{"after_100_ms", 0, milliseconds(100)},
                                         fence_case{"after_a_repeated_claim", 1,
                                                    milliseconds(1000)}),
                         [](const auto& it) { return it.param.name; });

TEST(the_fences, rise_when_the_clock_does_not) {
    fence_sequence fences(1);
    std::int64_t last = 0;
    for (const std::int64_t unix_ms : {5000, 5000, 4000, 0, 5000}) {
        for (const auto attempt : {claim_attempt::first, claim_attempt::repeated}) {
            const auto next = fences.next(attempt, unix_ms);
            EXPECT_GT(next, last);
            last = next;
        }
    }
}

// A claim that the fence of an ended holder rejected was repeated after 400 ms, in which a
// restarted fleet had half of its executors.
TEST(a_rejected_claim, is_repeated_at_once) {
    simulated_cell cell(1, 4, {64000, 131072, 0}, 2);
    cell.at(0).assign(cell.executor_infos());
    cell.run_for(milliseconds(100));
    ASSERT_EQ(cell.at(0).manager().held().size(), 4U);
    cell.at(0).kill();
    constexpr std::int64_t fence_of_a_fast_clock = 28'801'000; // higher than one first claim
    cell.executor(0).report({1, fence_of_a_fast_clock, 0, std::nullopt, milliseconds(0)});
    cell.at(1).assign(cell.executor_infos());
    cell.run_for(milliseconds(60));
    EXPECT_EQ(cell.at(1).manager().held().size(), 4U);
    EXPECT_TRUE(cell.violations.empty());
}

} // namespace
} // namespace savorytrail::cell
