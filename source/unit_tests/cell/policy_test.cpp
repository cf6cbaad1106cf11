// Tests of the scheduling policy: fair admission, lease lengths, ranking and behaviour under load.
#include <gtest/gtest.h>

#include <cmath>

#include "core/cell/fair_admission.h"
#include "core/cell/ranking.h"
#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using std::chrono::seconds;

// Load offered by a queue and the minimum to be admitted of it, as fractions of the capacity.
struct flow {
    std::string queue;
    double offered = 0;
    double expected = 0; // lower bound of what is admitted
};

struct fairness_case {
    const char* name;
    std::vector<flow> flows;
};

class fairness : public testing::TestWithParam<fairness_case> {};

TEST_P(fairness, limits_the_queue_that_exceeds_its_share) {
    fair_admission admission{fair_limits()};
    constexpr double capacity = 1000;
    constexpr int steps = 5000; // of one millisecond each
    common::time_point now{std::chrono::hours(1)};
    std::map<std::string, double> admitted;
    for (int i = 0; i < steps; i++) {
        now += milliseconds(1);
        for (const auto& it : GetParam().flows) {
            const double cpu_demand = it.offered * capacity;
            if (admission.admit(it.queue, cpu_demand, capacity, milliseconds(100), now)) {
                admitted[it.queue] += cpu_demand;
            }
        }
    }
    for (const auto& it : GetParam().flows) {
        EXPECT_GE(admitted[it.queue] / (capacity * steps), it.expected) << it.queue;
    }
}

INSTANTIATE_TEST_SUITE_P(
    policy, fairness,
    testing::Values(
        fairness_case{"calm", {{"a", 0.3, 0.3}, {"b", 0.3, 0.3}, {"c", 0.3, 0.3}}},
        fairness_case{"burst_of_one_queue", {{"a", 0.2, 0.19}, {"b", 0.2, 0.19}, {"c", 2.0, 0.4}}},
        fairness_case{"burst_of_all", {{"a", 0.6, 0.28}, {"b", 0.6, 0.28}, {"c", 0.6, 0.28}}},
        fairness_case{"alone", {{"a", 3.0, 0.85}}}),
    [](const auto& it) { return it.param.name; });

TEST(fairness_without_waiting, admits_all_offered_work) {
    fair_admission admission{fair_limits()};
    common::time_point now{std::chrono::hours(1)};
    for (int i = 0; i < 1000; i++) {
        now += milliseconds(1);
        EXPECT_TRUE(admission.admit("a", 5000, 1000, milliseconds(0), now));
    }
}

struct lease_case {
    int longest_ms;
    int resend_ms;
    int lease_ms;
};

class leases : public testing::TestWithParam<lease_case> {};

TEST_P(leases, end_before_the_granted_maximum_and_before_callers_resend) {
    const auto it =
        limits_for(milliseconds(GetParam().longest_ms), milliseconds(GetParam().resend_ms));
    EXPECT_EQ(it.lease, milliseconds(GetParam().lease_ms));
    EXPECT_LT(it.report_wait + it.renew_below, it.lease);
    EXPECT_LE(it.job_lease, milliseconds(GetParam().resend_ms * 3 / 4));
    // Just before it is renewed, a job's lease still covers that of an executor.
    EXPECT_LT(executor_clock::longest(it.lease), it.job_lease * 4 / 5);
}

INSTANTIATE_TEST_SUITE_P(policy, leases,
                         testing::Values(lease_case{1000, 1300, 680}, lease_case{500, 1300, 400},
                                         lease_case{1000, 640, 340}, lease_case{5000, 9000, 680}));

TEST(ranking, orders_started_before_urgent_before_late) {
    const common::time_point now{std::chrono::hours(1)};
    job_record begun(make_job("begun", 1, milliseconds(500)), {}, now);
    begun.note_start();
    const job_record urgent(make_job("urgent", 1, milliseconds(50)), {}, now);
    const job_record patient(make_job("patient", 1, milliseconds(500)), {}, now);
    const job_record late(make_job("late", 1, milliseconds(100)), {}, now - milliseconds(250));
    const auto rank = [&](const job_record& it) { return rank_of(it, now); };
    EXPECT_LT(rank(begun), rank(urgent));
    EXPECT_LT(rank(urgent), rank(patient));
    EXPECT_LT(rank(patient), rank(late));
}

// After an outage, half of the arriving jobs have been resent and have little time left. They must
// not delay jobs that can still be on time.
TEST(ranking, orders_on_time_jobs_before_late_resent_jobs) {
    const common::time_point now{std::chrono::hours(1)};
    auto again = make_job("again", 1, milliseconds(200));
    again.waited = milliseconds(500);
    const job_record old(again, {}, now);
    const job_record fresh(make_job("fresh", 1, milliseconds(200)), {}, now);
    EXPECT_LT(rank_of(fresh, now), rank_of(old, now));
    EXPECT_EQ(rank_of(old, now).group, urgency::late);
    EXPECT_EQ(old.late_until(), fresh.late_until() - milliseconds(500));
}

// Load levels on a cell of 12 executors, with estimates off by up to 40% either way.
struct load_case {
    const char* name;
    double load;             // offered work / effective capacity
    double on_time_at_least; // fraction of the offered work answered on time
};

class load_patterns : public testing::TestWithParam<load_case> {};

TEST_P(load_patterns, reach_the_expected_share_on_time) {
    constexpr int executors = 12;
    constexpr double usable_fraction = 0.84; // two tasks of 27 cores on 64
    simulated_cell cell(11, executors, {64000, 131072, 0}, 1);
    std::mt19937_64 random(5);
    const auto estimate_error = [&] {
        return 0.6 + 0.8 * static_cast<double>(random() % 1000) / 1000;
    };
    std::map<std::string, double> factor;
    cell.actual_run = [&](const work::job& job, const work::task_id&) {
        const auto& step = job.steps[0];
        const auto ms = static_cast<double>(step.estimate.count()) * factor[job.id];
        return simulated_executor::simulated_task{step.task_resources,
                                                  milliseconds(static_cast<int>(ms)), false};
    };
    cell.at(0).assign(cell.executor_infos());
    cell.run_for(milliseconds(200));
    const double capacity = executors * 64000 * usable_fraction;
    double offered = 0;
    double on_time = 0;
    const auto start = cell.now();
    for (int i = 0; cell.now() - start < seconds(6); i++) {
        const bool is_wide = i % 4 == 0;
        auto job = make_job("job-" + std::to_string(i), is_wide ? 8 : 2,
                            milliseconds(is_wide ? 60 : 200), 27000, is_wide ? "wide" : "narrow");
        factor[job.id] = estimate_error();
        offered += job.cpu_demand();
        cell.at(0).submit(job, [&, job, at = cell.now()](const work::outcome& it) {
            if (it.end == work::job_end::succeeded && cell.now() - at <= job.objective()) {
                on_time += job.cpu_demand();
            }
        });
        const auto gap = job.cpu_demand() / (capacity * GetParam().load);
        cell.run_for(milliseconds(std::max<int>(1, static_cast<int>(gap))));
    }
    cell.run_for(seconds(3));
    EXPECT_GE(on_time / offered, GetParam().on_time_at_least);
}

INSTANTIATE_TEST_SUITE_P(policy, load_patterns,
                         testing::Values(load_case{"half", 0.5, 0.95},
                                         load_case{"three_quarters", 0.75, 0.9},
                                         load_case{"half_too_much", 1.5, 0.66 * 0.75},
                                         load_case{"twice", 2.0, 0.5 * 0.75}),
                         [](const auto& it) { return it.param.name; });

struct job_kind {
    const char* queue;
    int tasks;
    int task_ms;
};

const std::vector<job_kind> kinds = {
    {"wide", 8, 60}, {"narrow", 2, 200}, {"narrow", 2, 200}, {"narrow", 2, 200}, {"long", 4, 900}};

// Estimates are lognormal with a factor of three, while the actual durations of a queue's tasks are
// similar. The objective is computed from the actual durations.
TEST(wrong_estimates, are_corrected_from_observed_durations) {
    constexpr int executors = 12;
    simulated_cell cell(12, executors, {64000, 131072, 0}, 1);
    std::mt19937_64 random(6);
    std::lognormal_distribution<double> error(0, std::log(3.0));
    std::uniform_real_distribution<double> duration_factor(0.6, 1.4);
    std::map<std::string, milliseconds> actual_durations;
    cell.actual_run = [&](const work::job& job, const work::task_id&) {
        return simulated_executor::simulated_task{job.steps[0].task_resources,
                                                  actual_durations[job.id], false};
    };
    cell.at(0).assign(cell.executor_infos());
    cell.run_for(milliseconds(200));
    constexpr double capacity = executors * 54000.0; // two tasks of 27 cores on each
    double offered = 0;
    double on_time = 0;
    const auto start = cell.now();
    for (int i = 0; cell.now() - start < seconds(12); i++) {
        const auto& kind = kinds.at(i % kinds.size());
        auto exact = make_job("job-" + std::to_string(i), kind.tasks, milliseconds(kind.task_ms),
                              27000, kind.queue);
        auto& estimate = exact.steps[0].estimate;
        estimate = milliseconds(static_cast<int>(estimate.count() * duration_factor(random)));
        actual_durations[exact.id] = estimate;
        auto submitted = exact;
        submitted.steps[0].estimate =
            milliseconds(std::max(1, static_cast<int>(estimate.count() * error(random))));
        const bool counts = cell.now() - start >
                            seconds(4); // skips the time in which the model has few observations
        offered += counts ? exact.cpu_demand() : 0;
        cell.at(0).submit(submitted, [&, counts, exact, at = cell.now()](const work::outcome& it) {
            if (counts && it.end == work::job_end::succeeded &&
                cell.now() - at <= exact.objective()) {
                on_time += exact.cpu_demand();
            }
        });
        cell.run_for(
            milliseconds(std::max(1, static_cast<int>(exact.cpu_demand() / capacity / 0.7))));
    }
    cell.run_for(seconds(3));

    EXPECT_GE(on_time / offered, 0.9);
}

// Load pattern: long jobs with time to spare come steadily and would fill the executors; short jobs
// with almost none come in between.
TEST(mixed_load, keeps_short_jobs_on_time_beside_long_ones) {
    simulated_cell cell(7, 16, {64000, 131072, 0}, 1);
    cell.at(0).assign(cell.executor_infos());
    cell.run_for(milliseconds(100));
    int short_jobs = 0;
    int on_time = 0;
    int long_jobs = 0;
    int long_on_time = 0;
    const auto submit = [&](const work::job& job, int& all, int& good) {
        all++;
        const auto until = cell.now() + job.objective();
        cell.at(0).submit(job, [&good, &cell, until](const work::outcome& it) {
            good += it.end == work::job_end::succeeded && cell.now() <= until ? 1 : 0;
        });
    };
    std::mt19937_64 random(5);
    for (int i = 0; i < 300; i++) {
        // 32 tasks fit at once; the long jobs take 23 of these places on average, the short ones 3.
        submit(make_job("long" + std::to_string(i), 4, milliseconds(900)), long_jobs, long_on_time);
        const auto offset = static_cast<int>(random() % 160);
        cell.run_for(milliseconds(offset));
        submit(make_job("short" + std::to_string(i), 8, milliseconds(60)), short_jobs, on_time);
        cell.run_for(milliseconds(160 - offset));
    }
    cell.run_for(milliseconds(4000));
    EXPECT_GE(on_time, short_jobs * 9 / 10);
    EXPECT_GE(long_on_time, long_jobs * 9 / 10);
}

} // namespace
} // namespace savorytrail::cell
