// Tests of the value of free capacity, and of placements by it.
#include <gtest/gtest.h>

#include "core/cell/packing.h"
#include "core/cell/placement.h"

namespace savorytrail::cell {
namespace {

using executor_map = std::map<std::string, std::unique_ptr<executor_record>>;

const common::time_point now{std::chrono::hours(1)};

executor_map make_executors(const std::vector<work::resources>& free) {
    executor_map executors;
    for (std::size_t i = 0; i < free.size(); i++) {
        work::executor_info info;
        info.id = "e" + std::to_string(i);
        info.upstream = "u";
        info.capacity = {96000, 262144, 0};
        auto it = std::make_unique<executor_record>(info, limits(), 1);
        it->state = claim_state::held;
        it->clock.observe(1, now);
        it->used = info.capacity - free[i];
        executors.emplace(info.id, std::move(it));
    }
    return executors;
}

packing values_for(const std::vector<std::int64_t>& sizes, const executor_map& executors) {
    packing values;
    for (int i = 0; i < 64; i++) {
        values.add(sizes[i % sizes.size()], 1);
    }
    values.refresh(executors, now);
    return values;
}

struct value_case {
    const char* name;
    std::vector<std::int64_t> sizes; // thousandths of a core, in rotation
    std::int64_t free;
    std::int64_t at_least;
    std::int64_t at_most;
};

class value_of_free_capacity : public testing::TestWithParam<value_case> {};

TEST_P(value_of_free_capacity, is_what_coming_tasks_use) {
    const auto& it = GetParam();
    const auto values = values_for(it.sizes, make_executors({{96000, 1024, 0}}));
    ASSERT_TRUE(values.is_known());
    EXPECT_GE(values.value(it.free), it.at_least);
    EXPECT_LE(values.value(it.free), it.at_most);
}

INSTANTIATE_TEST_SUITE_P(
    packing, value_of_free_capacity,
    testing::Values(
        value_case{"too_little_for_any", {36000}, 28000, 0, 0},
        value_case{"whole_tasks_only", {36000}, 64000, 36000, 36000},
        value_case{"exactly_filled", {32000}, 96000, 96000, 96000},
        value_case{"a_third_of_an_executor", {21333}, 64000, 62000, 64000},
        value_case{"fits_half_of_them", {24000, 40000}, 30000, 12000, 24000},
        value_case{"filled_by_two_kinds", {16000, 48000}, 64000, 57000, 58000},
        value_case{"negative", {36000}, -5000, 0, 0},
        value_case{"beyond_the_table", {36000}, 100000000, 99000000, 100000000},
        value_case{"larger_than_executors_ignored", {36000, 1000000000000}, 64000, 36000, 36000},
        value_case{"zero_and_negative_ignored", {36000, 0, -7}, 64000, 36000, 36000}),
    [](const auto& it) { return it.param.name; });

struct unknown_case {
    const char* name;
    std::vector<std::int64_t> sizes;
};

class unknown_value : public testing::TestWithParam<unknown_case> {};

// Guards against a change of placement where packing cannot gain anything.
TEST_P(unknown_value, leaves_best_fit) {
    const auto executors = make_executors({{96000, 1024, 0}});
    packing values;
    for (const auto size : GetParam().sizes) {
        values.add(size, 1000000000);
    }
    values.refresh(executors, now);
    EXPECT_FALSE(values.is_known());
    EXPECT_EQ(values.loss(50000, 1000), 0);
}

INSTANTIATE_TEST_SUITE_P(
    packing, unknown_value,
    testing::Values(unknown_case{"nothing_seen", {}},
                    unknown_case{"too_few_seen", std::vector<std::int64_t>(8, 36000)},
                    unknown_case{"all_small", std::vector<std::int64_t>(64, 12000)},
                    unknown_case{"all_too_large", std::vector<std::int64_t>(64, 97000)},
                    unknown_case{"all_zero", std::vector<std::int64_t>(64, 0)}),
    [](const auto& it) { return it.param.name; });

TEST(packing, forgets_sizes_that_no_longer_come) {
    const auto executors = make_executors({{96000, 1024, 0}});
    auto values = values_for({48000}, executors);
    EXPECT_EQ(values.value(40000), 0);
    for (int i = 0; i < 256; i++) {
        values.add(20000, 1);
    }
    values.refresh(executors, now + std::chrono::seconds(1));
    EXPECT_EQ(values.value(40000), 40000);
}

struct placement_case {
    const char* name;
    std::vector<std::int64_t> sizes;
    std::vector<work::resources> free;
    std::int64_t size;
    const char* expected; // empty: none fits
};

class placement_by_value : public testing::TestWithParam<placement_case> {};

TEST_P(placement_by_value, loses_the_least) {
    const auto& it = GetParam();
    const auto executors = make_executors(it.free);
    const auto values = values_for(it.sizes, executors);
    work::step step;
    step.task_resources = {it.size, 64, 0};
    const std::string upstream = "u";
    const std::string avoid;
    placement_request request;
    request.step = &step;
    request.upstream = &upstream;
    request.avoid = &avoid;
    request.values = &values;
    const auto* chosen = place(request, executors, now).executor;
    EXPECT_EQ(chosen == nullptr ? "" : *chosen, it.expected);
}

INSTANTIATE_TEST_SUITE_P(
    packing, placement_by_value,
    testing::Values(
        // Best fit would spoil the only room for a task of 48 cores.
        placement_case{"keeps_an_exact_hole",
                       {48000, 16000},
                       {{48000, 1024, 0}, {64000, 1024, 0}},
                       16000,
                       "e1"},
        placement_case{
            "same_loss_best_fit", {32000}, {{64000, 1024, 0}, {32000, 1024, 0}}, 32000, "e1"},
        placement_case{"memory_must_fit", {32000}, {{64000, 1024, 0}, {32000, 32, 0}}, 32000, "e0"},
        placement_case{"none_fits", {32000}, {{31999, 1024, 0}, {96000, 8, 0}}, 32000, ""},
        placement_case{"larger_than_any", {32000}, {{96000, 1024, 0}}, 1000000000000, ""},
        placement_case{"size_zero", {32000}, {{96000, 1024, 0}, {3000, 1024, 0}}, 0, "e1"}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail::cell
