// Validation of answers against their job, generation of jobs from a seed, and the report.
#include <gtest/gtest.h>

#include "nlohmann/json.hpp"
#include "stand_ins/callers/answer_check.h"
#include "stand_ins/callers/job_generator.h"
#include "stand_ins/callers/report.h"

namespace savorytrail::stand_ins {
namespace {

const generated_job s_job{"", {"job 1 task 0 a", "job 1 task 1 b"}, common::milliseconds(100)};

// Builds an answer with one result per echo; the echo "-" stands for the upstream status 500.
std::string answer_text(const std::string& state, const std::vector<std::string>& echoes,
                        const std::string& id = "id") {
    nlohmann::json it = {{"state", state}, {"id", id}};
    for (const auto& echo : echoes) {
        const auto body = nlohmann::json{{"executor", "e"}, {"echo", echo}}.dump();
        it["results"].push_back({{"status", echo == "-" ? 500 : 200}, {"body", body}});
    }
    return it.dump();
}

struct answer_case {
    const char* name;
    int status;
    std::string text;
    answer_state state;
    bool wrong = false;
    bool partial = false;
    bool crossed = false;
};

class answer_check_test : public testing::TestWithParam<answer_case> {};

TEST_P(answer_check_test, detects_defects) {
    const auto& expected = GetParam();
    const auto it = check_answer(s_job, "id", expected.status, expected.text);
    EXPECT_EQ(it.state, expected.state);
    EXPECT_EQ(it.wrong, expected.wrong);
    EXPECT_EQ(it.partial, expected.partial);
    EXPECT_EQ(it.crossed, expected.crossed);
}

const std::string s_first = "job 1 task 0 a";
const std::string s_second = "job 1 task 1 b";

INSTANTIATE_TEST_SUITE_P(
    cases, answer_check_test,
    testing::Values(
        answer_case{"complete", 200, answer_text("complete", {s_first, s_second}),
                    answer_state::complete},
        answer_case{"upstream_error", 200, answer_text("complete", {"-", s_second}),
                    answer_state::complete},
        answer_case{"missing_result", 200, answer_text("complete", {s_first}),
                    answer_state::complete, false, true},
        answer_case{"swapped_results", 200, answer_text("complete", {s_second, s_first}),
                    answer_state::complete, false, false, true},
        answer_case{"other_job", 200, answer_text("complete", {s_first, "job 2 task 1 c"}),
                    answer_state::complete, false, false, true},
        answer_case{"other_id", 200, answer_text("complete", {s_first, s_second}, "other"),
                    answer_state::complete, false, false, true},
        answer_case{"altered", 200, answer_text("complete", {s_first, "x"}), answer_state::complete,
                    true},
        answer_case{"failed", 200, answer_text("failed", {}), answer_state::failed},
        answer_case{"failed_with_results", 200, answer_text("failed", {s_first}),
                    answer_state::failed, false, true},
        answer_case{"unavailable", 503, answer_text("unavailable", {}), answer_state::unavailable},
        answer_case{"not_ready", 503, R"({"error":{}})", answer_state::unavailable},
        answer_case{"bad_request", 400, R"({"error":{}})", answer_state::bad_request},
        answer_case{"truncated", 200, R"({"state":"comp)", answer_state::no_answer}),
    [](const auto& test) { return test.param.name; });

TEST(job_generator, repeats_jobs_of_a_seed) {
    job_options options;
    options.tasks = {1, 9};
    options.service_ms = {50, 900};
    options.expected_error = 4;
    job_generator first(options, 7);
    job_generator same(options, 7);
    job_generator other(options, 8);
    const auto job = first.next();
    EXPECT_EQ(job, same.next());
    EXPECT_EQ(first.next_gap(10), same.next_gap(10));
    EXPECT_NE(job, other.next());
}

TEST(job_generator, declares_times_within_the_error) {
    job_options options;
    options.tasks = {100, 100};
    options.service_ms = {200, 200};
    options.expected_error = 4;
    const auto body = nlohmann::json::parse(job_generator(options, 7).next().text);
    bool any_differs = false;
    for (const auto& it : body["tasks"]) {
        const auto declared = it["expected_ms"].get<int>();
        EXPECT_GE(declared, 50);
        EXPECT_LE(declared, 800);
        any_differs = any_differs || declared != 200;
    }
    EXPECT_TRUE(any_differs);
}

TEST(report, divides_response_by_the_ideal) {
    report it;
    for (int i = 1; i <= 100; i++) {
        it.add_offered(3);
        job_outcome outcome;
        outcome.answer.state = answer_state::complete;
        outcome.tasks = 3;
        outcome.ideal_response = common::milliseconds(100);
        outcome.response = common::milliseconds(100 + i);
        outcome.in_time = true;
        it.add(outcome);
    }
    const auto json = nlohmann::json::parse(it.to_json(std::chrono::seconds(10), {}));
    EXPECT_EQ(json["served_tasks_per_s"], 30);
    EXPECT_DOUBLE_EQ(json["response_over_ideal"]["p50"], 1.5);
    EXPECT_DOUBLE_EQ(json["response_over_ideal"]["p99"], 1.99);
    EXPECT_EQ(json["states"]["complete"], 100);
    EXPECT_TRUE(it.is_sound());
    checked_answer partial;
    partial.partial = true;
    it.add_copy(partial, true);
    EXPECT_FALSE(it.is_sound());
}

TEST(number_range, is_read_from_text) {
    number_range it;
    EXPECT_TRUE(parse_range("5", it));
    EXPECT_EQ(it, (number_range{5, 5}));
    EXPECT_TRUE(parse_range("50..900", it));
    EXPECT_EQ(it, (number_range{50, 900}));
    for (const auto* text : {"", "x", "5..", "9..1", "1..2x"})
        EXPECT_FALSE(parse_range(text, it)) << text;
}

} // namespace
} // namespace savorytrail::stand_ins
