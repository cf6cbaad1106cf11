// Tests that a fleet under load refuses a job that could still be of use only while no cell has
// room for it.
#include <gtest/gtest.h>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cells/simulated_fleet.h"

namespace savorytrail::cells {
namespace {

using common::milliseconds;

constexpr std::int64_t task_cpu_millis = 27000;
constexpr milliseconds duration{200}; // of each task
constexpr milliseconds objective{380};
constexpr milliseconds answer_time{20}; // from cell to cell and back to the caller

struct burst_case {
    const char* name;
    std::vector<int> executors; // by domain
    int jobs = 0;               // of two tasks of 200 ms each
    milliseconds interval{0};   // between arrivals
    int crashed_executors = 0;  // of the first domain, in the middle of the burst
    int cut_executors = 0;      // of the first domain, from its dispatcher, in the same moment
    int min_succeeded = 0;
};

class a_fleet : public testing::TestWithParam<burst_case> {};

// The greatest usable capacity of a cell in which no job waits that could take it.
std::int64_t most_usable(simulated_fleet& fleet) {
    std::int64_t most = 0;
    for (int slot = 0; slot < fleet.entries(); slot++) {
        const auto load = fleet.entry(slot).dispatcher().load();
        most = std::max(most, load.backlog_ms > 0 ? 0 : load.usable_cpu_millis);
    }
    return most;
}

void play(const burst_case& it, std::uint64_t seed) {
    simulated_fleet fleet({seed, 2, it.executors});
    fleet.run_for(milliseconds(1500));
    std::set<std::size_t> refused;
    std::vector<common::time_point> submitted; // by caller
    int succeeded = 0;
    int refused_with_room = 0;
    const auto step = [&] {
        const auto before = most_usable(fleet);
        fleet.run_for(milliseconds(1));
        const auto usable = std::min(before, most_usable(fleet));
        for (std::size_t i = 0; i < fleet.callers().size(); i++) {
            if (fleet.callers().end_of(i) == work::job_end::not_run && refused.insert(i).second) {
                const bool is_of_use =
                    fleet.time().now() + duration + answer_time <= submitted[i] + 3 * objective;
                refused_with_room += is_of_use && usable >= 2 * task_cpu_millis ? 1 : 0;
            }
        }
    };
    for (int i = 0; i < it.jobs; i++) {
        if (i == it.jobs / 2) {
            const int dispatcher = fleet.dispatcher_of(0);
            for (int x = 0; x < it.crashed_executors; x++) {
                fleet.crash_executor(x);
            }
            for (int x = 0; x < it.cut_executors; x++) {
                fleet.orders_between(dispatcher, x).cuts_requests = true;
            }
        }
        submitted.push_back(fleet.time().now());
        fleet.callers().submit(cell::make_job("job-" + std::to_string(i), 2, duration));
        for (auto until = fleet.time().now() + it.interval; fleet.time().now() < until;) {
            step();
        }
    }
    for (int ms = 0; ms < 4000 && !fleet.callers().have_all_ended(); ms++) {
        step();
    }
    for (std::size_t i = 0; i < fleet.callers().size(); i++) {
        succeeded += fleet.callers().end_of(i) == work::job_end::succeeded ? 1 : 0;
    }
    EXPECT_EQ(refused_with_room, 0) << "of " << refused.size() << " refused, seed " << seed;
    EXPECT_GE(succeeded, it.min_succeeded) << "refused " << refused.size() << ", seed " << seed;
    EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
}

TEST_P(a_fleet, refuses_no_job_while_a_cell_has_room) {
    for (std::uint64_t seed = 1; seed <= 5; seed++) {
        play(GetParam(), seed);
    }
}

INSTANTIATE_TEST_SUITE_P(
    burst, a_fleet,
    testing::Values(burst_case{"calm", {4, 4, 4}, 40, milliseconds(40), 0, 0, 40},
                    burst_case{"twice_what_can_be_done", {4, 4, 4}, 200, milliseconds(8), 0, 0, 90},
                    burst_case{"all_at_once", {4, 4, 4}, 60, milliseconds(0), 0, 0, 12},
                    burst_case{"uneven_domains", {8, 2, 2}, 200, milliseconds(8), 0, 0, 80},
                    burst_case{"one_domain_restarts", {4, 4, 4}, 200, milliseconds(12), 4, 0, 80},
                    burst_case{"one_domain_is_cut", {4, 4, 4}, 200, milliseconds(12), 0, 4, 80}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail::cells
