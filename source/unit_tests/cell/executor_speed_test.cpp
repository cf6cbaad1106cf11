// Tests of the learnt speeds of executors. Without them, long tasks are late on slow executors and
// rare very long ones are stopped there as stuck; with wrong ones, even executors would be treated
// as uneven.
#include "core/cell/executor_speed.h"

#include <cmath>
#include <gtest/gtest.h>
#include <limits>
#include <random>

#include "core/cell/duration_model.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

struct queue_load {
    const char* name;
    double ms;
};
constexpr std::array<queue_load, 3> queues = {{{"short", 51}, {"middle", 170}, {"long", 760}}};

// A cell of 24 executors with three speeds in turn; the last is of another kind than the others.
class speed_learning {
public:
    explicit speed_learning(const std::vector<double>& speeds, std::uint64_t seed = 1)
        : m_random(seed), m_speeds(speeds) {
        infos.reserve(executors);
        for (int i = 0; i < executors; i++) {
            work::executor_info info;
            info.id = "e" + std::to_string(i);
            const bool is_big = i % 3 == 2;
            info.capacity = {is_big ? 96000 : 64000, 131072, 0};
            info.labels = {is_big ? "b" : "a", "rack-" + std::to_string(i / 8)};
            infos.push_back(info);
        }
        set_members(executors);
    }

    void set_members(int count) {
        std::vector<const work::executor_info*> list;
        list.reserve(count);
        for (int i = 0; i < count; i++) {
            list.push_back(&infos[i]);
        }
        learnt.set_executors(list, now);
    }

    void run(int executor, double slowdown = 1) {
        const auto& queue = queues.at(m_only_queue >= 0 ? m_only_queue : m_random() % 3);
        const bool is_tail = m_random() % 100 < 3;
        const double nominal = queue.ms * (is_tail ? 7 : 1);
        const auto estimate = milliseconds(std::llround(nominal * std::exp(0.4 * normal())));
        const auto predicted = durations.predicted_duration(queue.name, estimate);
        const double speed = m_speeds[executor % m_speeds.size()];
        // 4 ms for the order and the report.
        const auto took =
            milliseconds(std::llround(nominal * std::exp(0.15 * normal()) / speed * slowdown + 4));
        const auto seen =
            learnt.add(infos[executor], "job-" + std::to_string(m_job++), predicted, took);
        last_change = seen.what;
        if (seen.speed) {
            durations.add(queue.name, estimate,
                          milliseconds(std::llround(took.count() * *seen.speed)));
        }
    }
    // Short and middle tasks on kind a, long ones on kind b.
    void run_on_its_kind() {
        m_only_queue = static_cast<int>(m_random() % queues.size());
        const int group = static_cast<int>(m_random() % (executors / 3)) * 3;
        run(m_only_queue == 2 ? group + 2 : group + m_only_queue);
        m_only_queue = -1;
    }
    void run_many(int runs) {
        for (int i = 0; i < runs; i++) {
            run(static_cast<int>(m_random() % infos.size()));
        }
    }
    // Largest factor by which a learnt speed is off; the true ones relative to their mean.
    double worst_error() const {
        double sum = 0;
        for (int i = 0; i < executors; i++) {
            sum += m_speeds[i % m_speeds.size()];
        }
        double worst = 1;
        for (int i = 0; i < executors; i++) {
            const double ratio =
                learnt.speed(infos[i]) / (m_speeds[i % m_speeds.size()] / (sum / executors));
            worst = std::max({worst, ratio, 1 / ratio});
        }
        return worst;
    }

    static constexpr int executors = 24;
    std::vector<work::executor_info> infos;
    executor_speeds learnt;
    duration_model durations;
    common::time_point now{std::chrono::hours(1)};
    executor_speeds::change last_change = executor_speeds::change::none;

private:
    double normal() { return m_normal(m_random); }

    std::mt19937_64 m_random;
    std::normal_distribution<double> m_normal{0, 1};
    std::vector<double> m_speeds;
    int m_job = 0;
    int m_only_queue = -1;
};

struct speed_case {
    const char* name;
    std::vector<double> speeds;
    bool do_differ;
    int runs;             // in the whole cell
    double largest_error; // a factor
};

class learnt_speeds : public testing::TestWithParam<speed_case> {};

TEST_P(learnt_speeds, converge_within_a_number_of_runs) {
    const auto& it = GetParam();
    for (std::uint64_t seed = 1; seed <= 20; seed++) {
        speed_learning cell(it.speeds, seed);
        cell.run_many(it.runs);
        EXPECT_EQ(cell.learnt.do_differ(), it.do_differ) << seed;
        EXPECT_LE(cell.worst_error(), it.largest_error) << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    cell, learnt_speeds,
    testing::Values(speed_case{"observed_uneven", {0.7, 0.7, 1.7}, true, 240, 1.35},
                    speed_case{"observed_uneven_later", {0.7, 0.7, 1.7}, true, 4000, 1.15},
                    speed_case{"three_steps", {0.8, 1.0, 1.25}, true, 4000, 1.15},
                    speed_case{"one_step", {1, 1, 1.3}, true, 4000, 1.15},
                    speed_case{"even", {1}, false, 240, 1},
                    speed_case{"even_later", {1}, false, 20000, 1}),
    [](const auto& it) { return it.param.name; });

// Without a significant difference, nothing may change, not even for a moment.
TEST(even_speeds, never_differ_and_no_executor_turns_slow) {
    speed_learning cell({1});
    int slowed = 0;
    for (int i = 0; i < 30000; i++) {
        cell.run(i * 7 % speed_learning::executors);
        slowed += cell.last_change == executor_speeds::change::turned_slow ? 1 : 0;
        ASSERT_FALSE(cell.learnt.do_differ()) << i;
        ASSERT_EQ(cell.learnt.speed(cell.infos[0]), 1);
    }
    EXPECT_LE(slowed, 1);
    EXPECT_TRUE(cell.learnt.kind_means().empty());
    EXPECT_EQ(cell.learnt.cautious_speed(cell.infos[0]), 1);
}

// Once speeds are known, long tasks run on the fast executors only, and nothing compares the two
// kinds by tasks of one queue any more. The speeds must not drift back to equal ones.
TEST(uneven_speeds_learnt, do_not_drift_when_queues_are_separated) {
    speed_learning cell({0.7, 0.7, 1.7});
    cell.run_many(3000);
    const double before = cell.learnt.fastest() / cell.learnt.slowest();
    for (int i = 0; i < 30000; i++) {
        cell.run_on_its_kind();
    }
    EXPECT_NEAR(std::log(cell.learnt.fastest() / cell.learnt.slowest() / before), 0, 0.2);
}

TEST(slow_phase, is_told_from_the_executors_own_speed) {
    speed_learning cell({0.7, 0.7, 1.7});
    cell.run_many(3000);
    const auto& slowed = cell.infos[0];
    const double own = cell.learnt.speed(slowed);
    for (int i = 0; i < 3; i++) {
        cell.run(0, 4);
    }
    EXPECT_TRUE(cell.learnt.is_turned_slow(slowed.id));
    EXPECT_FALSE(cell.learnt.is_turned_slow(cell.infos[1].id)); // slow by nature
    EXPECT_LT(cell.learnt.current_speed(slowed), 0.6 * own);
    for (int i = 0; i < 5; i++) {
        cell.run(0, 4);
    }
    cell.run(0);
    EXPECT_EQ(cell.last_change, executor_speeds::change::speed_regained);
    EXPECT_NEAR(cell.learnt.speed(slowed), own, 0.15 * own);
}

TEST(slow_phase, that_does_not_end_becomes_the_executors_own_speed) {
    speed_learning cell({1});
    cell.run_many(3000);
    for (int i = 0; i < 120; i++) {
        cell.run(0, 3);
    }
    EXPECT_FALSE(cell.learnt.is_turned_slow(cell.infos[0].id));
    EXPECT_TRUE(cell.learnt.do_differ());
    EXPECT_LT(cell.learnt.speed(cell.infos[0]), 0.6);
}

// The tasks of one job share the error of its estimate.
TEST(slow_phase, is_not_concluded_from_the_tasks_of_one_job) {
    speed_learning cell({1});
    cell.run_many(3000);
    for (int i = 0; i < 8; i++) {
        cell.learnt.add(cell.infos[0], "one", milliseconds(50), milliseconds(300));
    }
    EXPECT_FALSE(cell.learnt.is_turned_slow(cell.infos[0].id));
}

// When a queue's tasks have changed, or the network is slow, all executors seem slow.
TEST(slow_phase, of_all_executors_is_not_put_down_to_them) {
    speed_learning cell({1});
    cell.run_many(3000);
    int slow = 0;
    for (int i = 0; i < 600; i++) {
        cell.run(i % speed_learning::executors, 5);
        int now_slow = 0;
        for (const auto& info : cell.infos) {
            now_slow += cell.learnt.is_turned_slow(info.id) ? 1 : 0;
        }
        slow = std::max(slow, now_slow);
    }
    EXPECT_LE(slow, speed_learning::executors / 4);
    cell.run_many(600);
    EXPECT_FALSE(cell.learnt.do_differ());
}

struct bad_mean_case {
    const char* name;
    double log_speed;
    std::uint32_t weight;
};

class bad_means : public testing::TestWithParam<bad_mean_case> {};

TEST_P(bad_means, are_counted_and_change_nothing) {
    speed_learning cell({1});
    const auto kind = kind_of(cell.infos[2]);
    EXPECT_EQ(cell.learnt.receive({{kind, GetParam().log_speed, GetParam().weight}}), 1);
    EXPECT_EQ(cell.learnt.receive({{0, 0.1, 10}}), 1);
    EXPECT_FALSE(cell.learnt.do_differ());
    EXPECT_EQ(cell.learnt.speed(cell.infos[2]), 1);
}

INSTANTIATE_TEST_SUITE_P(
    cell, bad_means,
    testing::Values(bad_mean_case{"not_a_number", std::nan(""), 10},
                    bad_mean_case{"infinite", std::numeric_limits<double>::infinity(), 10},
                    bad_mean_case{"too_fast", 2.2, 10}, bad_mean_case{"too_slow", -2.2, 10},
                    bad_mean_case{"weightless", 0.5, 0},
                    bad_mean_case{"absurd_weight", 0.5, 4000000000U}),
    [](const auto& it) { return it.param.name; });

struct lie_case {
    const char* name;
    std::vector<double> speeds;
    double log_a;
    double log_b;
};

class lying_means : public testing::TestWithParam<lie_case> {};

// Another cell's values are only a start. They are repeated with each heartbeat.
TEST_P(lying_means, are_corrected_by_own_observations) {
    const auto& it = GetParam();
    speed_learning cell(it.speeds);
    const std::vector<kind_mean> lie = {{kind_of(cell.infos[0]), it.log_a, 1000000},
                                        {kind_of(cell.infos[2]), it.log_b, 1000000}};
    for (int i = 0; i < 800; i++) {
        EXPECT_EQ(cell.learnt.receive(lie), 0);
        // No lie shortens the time after which a run counts as stuck.
        EXPECT_LE(cell.learnt.cautious_speed(cell.infos[i % 24]), 1);
        cell.run_many(1);
    }
    EXPECT_LE(cell.worst_error(), 1.3);
}

INSTANTIATE_TEST_SUITE_P(cell, lying_means,
                         testing::Values(lie_case{"even", {1}, -2, 2},
                                         lie_case{"reversed", {0.7, 0.7, 1.7}, 0.53, -0.36},
                                         lie_case{"far_off", {0.7, 0.7, 1.7}, 2, -2}),
                         [](const auto& it) { return it.param.name; });

TEST(restart, begins_with_what_another_cell_has_learnt) {
    speed_learning before({0.7, 0.7, 1.7});
    before.run_many(3000);
    const auto means = before.learnt.kind_means();
    ASSERT_EQ(means.size(), 2U);
    speed_learning after({0.7, 0.7, 1.7}, 2);
    EXPECT_EQ(after.learnt.receive(means), 0);
    EXPECT_TRUE(after.learnt.do_differ());
    EXPECT_LE(after.worst_error(), 1.2);
    // Told only what it has observed itself, so that nothing goes round between the cells.
    EXPECT_TRUE(after.learnt.kind_means().empty());
}

// The slowest that must be allowed for: 0.7 of a mean of 1.03, with a spread of 15%.
TEST(restart, allows_for_slow_executors_until_speeds_are_known) {
    speed_learning cell({0.7, 0.7, 1.7});
    for (int i = 0; i < 300; i++) {
        EXPECT_LE(cell.learnt.cautious_speed(cell.infos[0]), 0.7) << i;
        cell.run_many(1);
    }
}

TEST(executors_that_left, are_forgotten_after_a_while) {
    speed_learning cell({0.5, 1, 1});
    cell.run_many(4000);
    const double own = cell.learnt.speed(cell.infos[0]);
    cell.set_members(0);
    cell.now += milliseconds(30000); // the executor restarts
    cell.set_members(24);
    EXPECT_NEAR(cell.learnt.speed(cell.infos[0]), own, 0.01);
    cell.set_members(12);
    cell.now += milliseconds(61000);
    cell.set_members(12);
    EXPECT_EQ(cell.learnt.executors(), 12U);
}

// Executors that come and go under ever new ids and labels must not use up the memory.
TEST(executors_that_left, and_kinds_are_bounded_in_number) {
    executor_speeds learnt;
    const common::time_point now{std::chrono::hours(1)};
    for (int i = 0; i < 2000; i++) {
        work::executor_info info;
        info.id = "e" + std::to_string(i);
        info.labels = {"kind-" + std::to_string(i)};
        learnt.set_executors({&info}, now);
        learnt.add(info, "j", milliseconds(100), milliseconds(100 + i));
        learnt.receive({{static_cast<std::uint64_t>(i) + 1, 0.1, 5}});
    }
    EXPECT_LE(learnt.executors(), 300U);
    EXPECT_LE(learnt.kinds(), 65U);
}

TEST(executor_replaced, under_its_id_by_another_kind_is_learnt_anew) {
    speed_learning cell({0.5, 1, 1});
    cell.run_many(4000);
    cell.infos[0].labels = {"c"};
    cell.learnt.add(cell.infos[0], "j", milliseconds(100), milliseconds(100));
    EXPECT_LE(cell.learnt.cautious_speed(cell.infos[0]), 0.7);
}

} // namespace
} // namespace savorytrail::cell
