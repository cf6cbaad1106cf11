// Tests of the registry and of an entry's metrics, through the text that Prometheus reads.
#include <gtest/gtest.h>

#include <thread>
#include <vector>

#include "core/telemetry/entry_metrics.h"
#include "core/telemetry/job_metrics.h"
#include "core/telemetry/scrape.h"

namespace savorytrail::telemetry {
namespace {

using std::chrono::milliseconds;

scrape read_back(const exposition& out) {
    const auto result = parse_scrape(out.text());
    EXPECT_TRUE(result) << out.text();
    return result.value_or(scrape{});
}

double value_of(const scrape& from, const std::string& name,
                const std::map<std::string, std::string>& labels = {}) {
    for (const auto& it : from.samples) {
        if (it.name == name && it.labels == labels)
            return it.value;
    }
    ADD_FAILURE() << name << " is missing";
    return -1;
}

TEST(registry, sums_counts_of_concurrent_threads) {
    constexpr int threads = 8;
    constexpr int rounds = 1000;
    registry counts(
        {{"n_total", "N.", metric_kind::counter, {}}, {"d", "D.", metric_kind::histogram, {1, 2}}});
    std::vector<std::thread> all;
    all.reserve(threads);
    for (int i = 0; i < threads; i++) {
        all.emplace_back([&counts] {
            for (int n = 0; n < rounds; n++) {
                counts.add(0, {{"k", "v"}});
                counts.observe(1, {}, n % 4);
            }
        });
    }
    for (auto& it : all)
        it.join();

    exposition out;
    counts.write(out);
    const auto result = read_back(out);
    EXPECT_EQ(value_of(result, "n_total", {{"k", "v"}}), threads * rounds);
    EXPECT_EQ(value_of(result, "d_bucket", {{"le", "1"}}), threads * rounds / 2);
    EXPECT_EQ(value_of(result, "d_bucket", {{"le", "2"}}), threads * rounds * 3 / 4);
    EXPECT_EQ(value_of(result, "d_bucket", {{"le", "+Inf"}}), threads * rounds);
    EXPECT_EQ(value_of(result, "d_count"), threads * rounds);
    EXPECT_EQ(value_of(result, "d_sum"), threads * rounds * 3 / 2);
    EXPECT_EQ(value_of(result, "d_max"), 3);
}

TEST(entry_metrics, every_family_has_a_conventional_name_and_type) {
    entry_metrics metrics;
    metrics.count_answer("failed", "say \"no\"\\\n");
    metrics.count_task_end("answered");
    metrics.count_forwarded();
    metrics.count_message("task");
    metrics.observe_response(milliseconds(300), milliseconds(200));
    exposition out;
    metrics.write(out);
    const auto result = read_back(out);
    for (const auto& [name, type] : result.types) {
        EXPECT_EQ(name.rfind("savory_", 0), 0U) << name;
        EXPECT_EQ(type == "counter", name.ends_with("_total")) << name;
    }
    EXPECT_EQ(value_of(result, "savory_answers_total",
                       {{"state", "failed"}, {"reason", "say \"no\"\\\n"}}),
              1);
}

TEST(job_metrics, count_the_time_to_the_end_of_the_last_run_in_seconds) {
    job_metrics metrics;
    metrics.observe_runs_stopped(milliseconds(250));
    exposition out;
    metrics.write(out);
    const auto result = read_back(out);
    const std::string name = "savory_runs_stopped_seconds";
    EXPECT_EQ(value_of(result, name + "_bucket", {{"le", "0.3"}}), 1);
    EXPECT_EQ(value_of(result, name + "_bucket", {{"le", "0.2"}}), 0);
    EXPECT_EQ(value_of(result, name + "_sum"), 0.25);
}

TEST(job_metrics, count_held_back_jobs_by_the_priority_that_they_wait_for) {
    job_metrics metrics;
    metrics.observe_hold(0, milliseconds(120));
    metrics.observe_hold(-7, milliseconds(10));
    exposition out;
    metrics.write(out);
    const auto result = read_back(out);
    const std::string name = "savory_job_held_back_seconds";
    EXPECT_EQ(value_of(result, name + "_sum", {{"for_priority", "0"}}), 0.12);
    EXPECT_EQ(value_of(result, name + "_count", {{"for_priority", "-7"}}), 1);
}

struct ratio_case {
    int response_ms;
    int ideal_ms;
    const char* bucket; // counts the answer
    const char* below;  // does not count it
};

class response_ratio : public testing::TestWithParam<ratio_case> {};

TEST_P(response_ratio, falls_into_its_bucket) {
    entry_metrics metrics;
    metrics.observe_response(milliseconds(GetParam().response_ms),
                             milliseconds(GetParam().ideal_ms));
    exposition out;
    metrics.write(out);
    const auto result = read_back(out);
    const std::string name = "savory_response_over_ideal_ratio_bucket";
    EXPECT_EQ(value_of(result, name, {{"le", GetParam().bucket}}), 1);
    EXPECT_EQ(value_of(result, name, {{"le", GetParam().below}}), 0);
}

INSTANTIATE_TEST_SUITE_P(table, response_ratio,
                         testing::Values(ratio_case{300, 200, "1.5", "1.4"},
                                         ratio_case{301, 200, "1.75", "1.5"},
                                         ratio_case{3, 0, "3", "2.5"},
                                         ratio_case{200000, 1, "+Inf", "100"}));

} // namespace
} // namespace savorytrail::telemetry
