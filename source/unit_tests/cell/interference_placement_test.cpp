// Tests what keeping interfering tasks apart does to response times, in simulated cells.
#include <cmath>
#include <gtest/gtest.h>
#include <iostream>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using std::chrono::seconds;

constexpr int executors = 12;
constexpr int places = executors * 3; // of 20 cores

struct played_case {
    const char* name;
    double quiet_beside_loud; // factors
    double loud_beside_quiet;
    double load; // of the places
    double most; // mean response of quiet jobs with the feature, as a part of that without
};

struct result {
    double quiet_ms = 0; // mean response after the first half
    double loud_ms = 0;
    double answered = 0;       // part
    std::size_t suspected = 0; // changes of suspicions
    std::size_t starts = 0;
    std::vector<std::string> violations;
};

struct conditions {
    double estimate_error = 0.3;    // of the logarithm
    double tails = 0;               // share of tasks that last seven times as long
    bool has_uneven_speeds = false; // between 0.8 and 1.2, and taken for 1
    std::uint64_t seed = 31;
    std::function<void(simulated_cell&)> fault = [](auto&) {};
};

result play(const played_case& it, bool avoids, const conditions& under = {}) {
    limits by;
    by.avoids_interference = avoids;
    simulated_cell cell(under.seed, executors, {64000, 131072, 0}, 1, by);
    std::mt19937_64 random(under.seed + 1);
    std::normal_distribution<double> normal;
    std::map<std::string, double> factors;
    cell.actual_run = [&](const work::job& job, const work::task_id&) {
        const auto& step = job.steps[0];
        const double ms = static_cast<double>(step.estimate.count()) * factors[job.id];
        return simulated_executor::simulated_task{step.task_resources,
                                                  milliseconds(static_cast<int>(ms)), false};
    };
    for (int i = 0; i < executors; i++) {
        if (under.has_uneven_speeds) {
            cell.executor(i).slowdown = 1 / (0.8 + 0.4 * i / (executors - 1));
        }
        cell.executor(i).interference = [&](const std::string& payload, const std::string& beside) {
            const bool is_quiet = payload.find("quiet") != std::string::npos;
            const bool is_beside_quiet = beside.find("quiet") != std::string::npos;
            if (is_quiet == is_beside_quiet) {
                return 1.0;
            }
            return is_quiet ? it.quiet_beside_loud : it.loud_beside_quiet;
        };
    }
    cell.at(0).assign(cell.executor_infos());
    cell.run_for(milliseconds(200));
    result sum;
    int submitted = 0;
    int answered = 0;
    int quiet = 0;
    int loud = 0;
    const auto begin = cell.now();
    const auto length = seconds(60);
    for (int i = 0; cell.now() - begin < length; i++) {
        const bool is_quiet = random() % 2 == 0;
        auto job = make_job((is_quiet ? "quiet" : "loud") + std::to_string(i), 1, milliseconds(100),
                            20000, is_quiet ? "quiet" : "loud");
        factors[job.id] = std::exp(under.estimate_error * normal(random)) *
                          (std::bernoulli_distribution(under.tails)(random) ? 7 : 1);
        const bool counts = cell.now() - begin > length / 2;
        submitted++;
        cell.at(0).submit(job, [&, is_quiet, counts,
                                at = cell.now()](const work::outcome& outcome) {
            answered += outcome.end == work::job_end::succeeded ? 1 : 0;
            if (!counts || outcome.end != work::job_end::succeeded) {
                return;
            }
            const double ms = std::chrono::duration<double, std::milli>(cell.now() - at).count();
            (is_quiet ? sum.quiet_ms : sum.loud_ms) += ms;
            (is_quiet ? quiet : loud)++;
        });
        const double mean_gap = 105.0 / (places * it.load);
        std::exponential_distribution<double> gap(1 / mean_gap);
        cell.run_for(milliseconds(std::lround(gap(random))));
        if (i % 1000 == 500) {
            under.fault(cell);
        }
    }
    cell.run_for(seconds(3));
    sum.suspected = cell.interference_changes.size();
    sum.quiet_ms /= std::max(quiet, 1);
    sum.loud_ms /= std::max(loud, 1);
    sum.answered = static_cast<double>(answered) / submitted;
    sum.starts = cell.starts;
    sum.violations = cell.violations;
    return sum;
}

class tasks_that_interfere : public testing::TestWithParam<played_case> {
public:
    ~tasks_that_interfere() override = default;
};

// Load: jobs of two queues come at random, and those of one slow those of the other.
TEST_P(tasks_that_interfere, are_kept_apart_where_there_is_room) {
    const auto without = play(GetParam(), false);
    const auto with = play(GetParam(), true);
    std::cerr << "quiet jobs: " << without.quiet_ms << " ms without, " << with.quiet_ms
              << " ms with; loud jobs: " << without.loud_ms << " and " << with.loud_ms
              << " ms; answered " << without.answered << " and " << with.answered << "\n";
    EXPECT_LE(with.quiet_ms, without.quiet_ms * GetParam().most);
    EXPECT_GE(with.answered, without.answered - 0.01);
    EXPECT_TRUE(with.violations.empty());
    if (GetParam().quiet_beside_loud == 1 && GetParam().loud_beside_quiet == 1) {
        // Without interference nothing is placed differently.
        EXPECT_EQ(with.suspected, 0U);
        EXPECT_EQ(with.quiet_ms, without.quiet_ms);
        EXPECT_EQ(with.starts, without.starts);
    }
}

INSTANTIATE_TEST_SUITE_P(interference, tasks_that_interfere,
                         testing::Values(played_case{"none", 1, 1, 0.5, 1},
                                         played_case{"one_way_1_5", 1.5, 1, 0.5, 0.9},
                                         played_case{"both_ways_1_5", 1.5, 1.5, 0.5, 0.9},
                                         played_case{"one_way_3", 3, 1, 0.4, 0.8},
                                         played_case{"the_other_way_3", 1, 3, 0.4, 1.02},
                                         // No room: they run together, and no job waits longer.
                                         played_case{"without_room", 1.3, 1.3, 0.75, 1.05}),
                         [](const auto& it) { return it.param.name; });

class a_cell_without_interference : public testing::TestWithParam<double> {
public:
    ~a_cell_without_interference() override = default;
};

// Guards against false alarms by what decides in a real cell who runs beside whom: at the given
// load, amid wrong estimates, long tails and uneven executors whose speeds are not known.
TEST_P(a_cell_without_interference, raises_no_suspicion) {
    for (std::uint64_t seed = 1; seed <= 4; seed++) {
        const auto seen =
            play({"none", 1, 1, GetParam(), 1}, true,
                 {.estimate_error = 0.4, .tails = 0.03, .has_uneven_speeds = true, .seed = seed});
        EXPECT_EQ(seen.suspected, 0U) << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(interference, a_cell_without_interference, testing::Values(0.3, 0.6, 0.9));

struct fault_case {
    const char* name;
    std::function<void(simulated_cell&)> fault;
};

class executors_that_fail : public testing::TestWithParam<fault_case> {
public:
    ~executors_that_fail() override = default;
};

// Guards against durations of runs that were stopped, lost or restarted being taken for slowdowns.
TEST_P(executors_that_fail, raise_no_suspicion) {
    const auto seen = play({"none", 1, 1, 0.6, 1}, true, {.fault = GetParam().fault});
    EXPECT_EQ(seen.suspected, 0U);
    EXPECT_TRUE(seen.violations.empty());
}

INSTANTIATE_TEST_SUITE_P(
    interference, executors_that_fail,
    testing::Values(fault_case{"restarted", [](auto& cell) { cell.executor(3).crash(cell.now()); }},
                    fault_case{"unreachable_for_a_second",
                               [](auto& cell) {
                                   cell.executor(4).is_reachable = false;
                                   cell.after(milliseconds(1000),
                                              [&cell] { cell.executor(4).is_reachable = true; });
                               }},
                    fault_case{"stalled_so_that_runs_are_stopped",
                               [](auto& cell) {
                                   cell.executor(5).is_stalled = true;
                                   cell.after(milliseconds(1500),
                                              [&cell] { cell.executor(5).is_stalled = false; });
                               }},
                    fault_case{"with_answers_lost",
                               [](auto& cell) { cell.faults.lost_answers = 30; }},
                    fault_case{"of_a_dispatcher_that_is_paused",
                               [](auto& cell) { cell.at(0).pause(milliseconds(300)); }}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail::cell
