// Guards against starts that exceed the capacity of an executor which shrinks and grows while tasks
// run there, and does not reject what exceeds it.
#include <gtest/gtest.h>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

constexpr int executors = 4;
constexpr int changes = 60;
constexpr milliseconds settle_time{300};
// A start order may be under way when the change is learnt.
constexpr milliseconds order_time{5};
constexpr std::int64_t core = 1000; // in thousandths
constexpr work::resources none{0, 0, 0};

class capacity_changes : public testing::TestWithParam<std::uint64_t> {};

TEST_P(capacity_changes, are_kept_to) {
    simulated_cell cell(GetParam(), executors, {64 * core, 131072, 0}, 1);
    std::mt19937_64 random(GetParam());
    const auto pick = [&random](int n) {
        return static_cast<int>(random() % static_cast<std::uint64_t>(n));
    };
    for (int i = 0; i < executors; i++) {
        cell.executor(i).rejects_overload = false;
    }
    cell.at(0).assign(cell.executor_infos());
    cell.run_for(settle_time);
    int succeeded = 0;
    for (int i = 0; i < changes; i++) {
        auto& changed = cell.executor(pick(executors));
        changed.set_capacity({(8 + pick(57)) * core, 65536 + pick(65536), 0});
        cell.at(0).assign(cell.executor_infos());
        cell.run_for(order_time);
        for (int n = 0; n < executors; n++) {
            cell.executor(n).highest_excess = none;
        }
        cell.at(0).submit(make_job("job-" + std::to_string(i), 1 + pick(8), milliseconds(50),
                                   (2 + pick(6)) * core),
                          [&succeeded](const work::outcome& it) {
                              succeeded += it.end == work::job_end::succeeded ? 1 : 0;
                          });
        cell.run_for(milliseconds(pick(120)));
        for (int n = 0; n < executors; n++) {
            EXPECT_EQ(cell.executor(n).highest_excess, none)
                << "change " << i << ", executor " << n;
        }
    }
    EXPECT_GT(succeeded, changes / 2);
}

INSTANTIATE_TEST_SUITE_P(seeds, capacity_changes, testing::Range<std::uint64_t>(1, 11));

} // namespace
} // namespace savorytrail::cell
