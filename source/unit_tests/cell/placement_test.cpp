// Tests of the choice of an executor where speeds differ. Without it long tasks go to slow
// executors, on which they are late, while short ones occupy the fast.
#include "core/cell/placement.h"

#include <gtest/gtest.h>

#include <cmath>

namespace savorytrail::cell {
namespace {

using common::milliseconds;

// Speeds 0.7, 0.7 and 1.7 by what another cell has told, relative to their mean of 1.03.
class placement_by_speed : public testing::Test {
protected:
    placement_by_speed() {
        add("slow-1", "a", 64000);
        add("slow-2", "a", 64000);
        add("fast", "b", 96000);
        std::vector<const work::executor_info*> list;
        for (const auto& [id, it] : m_executors) {
            list.push_back(&it->info);
        }
        m_speeds.set_executors(list, m_now);
        m_speeds.receive({{kind_of(m_executors.at("slow-1")->info), std::log(0.7), 300},
                          {kind_of(m_executors.at("fast")->info), std::log(1.7), 300}});
        m_step.task_resources = {32000, 64, 0};
    }

    void add(const std::string& id, const std::string& kind, std::int64_t cpu) {
        work::executor_info info;
        info.id = id;
        info.upstream = "u";
        info.capacity = {cpu, 131072, 0};
        info.labels = {kind, "rack-1"};
        auto record = std::make_unique<executor_record>(info, limits(), 1);
        record->state = claim_state::held;
        record->clock.observe(0, m_now);
        m_executors[id] = std::move(record);
    }

    // Occupies all of the executor by one run.
    void occupy(const std::string& id, int expected_ms, int age_ms) {
        auto& it = *m_executors.at(id);
        run_record run;
        run.occupied = it.info.capacity;
        run.expected = milliseconds(expected_ms);
        run.time_limit = milliseconds(10000);
        run.started_at = m_now - milliseconds(age_ms);
        it.used = run.occupied;
        it.runs.emplace(work::run_key{}, run);
    }

    placement_request request(int expected_ms, int left_ms) const {
        placement_request it;
        it.step = &m_step;
        it.upstream = &m_upstream;
        it.avoid = &m_none;
        it.speeds = m_speeds.do_differ() ? &m_speeds : nullptr;
        it.expected = milliseconds(expected_ms);
        it.left = milliseconds(left_ms);
        return it;
    }
    std::string placed(int expected_ms, int left_ms) const {
        const auto it = place(request(expected_ms, left_ms), m_executors, m_now);
        return it.executor == nullptr ? "" : *it.executor;
    }

    const common::time_point m_now{std::chrono::hours(1)};
    executor_map m_executors;
    executor_speeds m_speeds;
    work::step m_step;
    const std::string m_upstream = "u";
    const std::string m_none;
};

TEST_F(placement_by_speed, takes_the_slowest_executor_in_time_else_the_fastest) {
    ASSERT_TRUE(m_speeds.do_differ());
    EXPECT_EQ(placed(51, 142), "slow-1");
    EXPECT_EQ(placed(760, 1276), "fast");
    EXPECT_EQ(placed(760, 5000), "slow-1");
    EXPECT_EQ(placed(760, 300), "fast"); // late everywhere
    occupy("fast", 400, 0);
    EXPECT_EQ(placed(760, 1276), "slow-1"); // if nothing else is free
    EXPECT_TRUE(place(request(760, 1276), m_executors, m_now).is_late);
}

TEST_F(placement_by_speed, fills_executors_of_about_one_speed_by_best_fit) {
    m_executors.at("slow-2")->used = {30000, 64, 0};
    EXPECT_EQ(placed(51, 142), "slow-2");
}

TEST_F(placement_by_speed, ignores_time_where_speeds_do_not_differ) {
    auto it = request(760, 1);
    it.speeds = nullptr;
    const auto chosen = place(it, m_executors, m_now);
    EXPECT_EQ(*chosen.executor, "slow-1"); // best fit
    EXPECT_FALSE(chosen.is_late);
}

struct waiting_case {
    const char* name;
    int expected_ms; // of the run on the fast executor
    int age_ms;
    bool is_worth_waiting;
};

class waiting_for_a_fast_one : public placement_by_speed,
                               public testing::WithParamInterface<waiting_case> {};

// A task of 760 ms with 1,276 ms left takes 462 ms there, and 693 ms with the margin.
TEST_P(waiting_for_a_fast_one, depends_on_when_it_has_room) {
    occupy("fast", GetParam().expected_ms, GetParam().age_ms);
    const auto* it = worth_waiting_for(request(760, 1276), m_executors, {}, m_now);
    EXPECT_EQ(it != nullptr, GetParam().is_worth_waiting);
    if (it != nullptr) {
        EXPECT_EQ(*it, "fast");
        EXPECT_EQ(worth_waiting_for(request(760, 1276), m_executors, {it}, m_now), nullptr);
    }
}

INSTANTIATE_TEST_SUITE_P(cell, waiting_for_a_fast_one,
                         testing::Values(waiting_case{"soon_free", 300, 0, true},
                                         waiting_case{"almost_ended", 2000, 1900, true},
                                         waiting_case{"too_long", 600, 0, false},
                                         waiting_case{"long_overdue", 300, 900, false},
                                         waiting_case{"unknown", 0, 0, false}),
                         [](const auto& it) { return it.param.name; });

TEST_F(placement_by_speed, does_not_wait_for_an_executor_that_takes_no_work) {
    occupy("fast", 300, 0);
    m_executors.at("fast")->health.note_overdue(m_now);
    EXPECT_EQ(worth_waiting_for(request(760, 1276), m_executors, {}, m_now), nullptr);
}

} // namespace
} // namespace savorytrail::cell
