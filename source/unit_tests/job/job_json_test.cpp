// Tests of the JSON encoding of jobs and answers.
#include "core/job/job_json.h"

#include <gtest/gtest.h>

namespace savorytrail::job {
namespace {

constexpr job_limits small_limits{3, 8, 16, common::milliseconds(1000)};

TEST(job_parsing, reads_every_field) {
    const auto parsed = parse_job(
        R"({"team":"t","upstream":"u","deadline_ms":900,"tasks":[)"
        R"({"path":"/a?b=1","body":"x","idempotent":true,"expected_ms":50},{"path":"/c"}]})",
        small_limits);
    const job expected{"t",
                       "u",
                       common::milliseconds(900),
                       {{"/a?b=1", "x", true, common::milliseconds(50)}, {"/c", "", false, {}}}};
    ASSERT_TRUE(std::holds_alternative<job>(parsed));
    EXPECT_EQ(std::get<job>(parsed), expected);
}

struct bad_job {
    const char* text;
    const char* field;
};

class invalid_jobs : public testing::TestWithParam<bad_job> {};

TEST_P(invalid_jobs, are_rejected_with_the_field) {
    const auto parsed = parse_job(GetParam().text, small_limits);
    ASSERT_TRUE(std::holds_alternative<invalid_field>(parsed));
    EXPECT_EQ(std::get<invalid_field>(parsed).field, GetParam().field);
    EXPECT_FALSE(std::get<invalid_field>(parsed).message.empty());
}

INSTANTIATE_TEST_SUITE_P(
    table, invalid_jobs,
    testing::Values(
        bad_job{"", "body"}, bad_job{"{", "body"}, bad_job{"[]", "body"},
        bad_job{"[[[[[[[[[[[[]]]]]]]]]]]]", "body"},
        bad_job{R"({"upstream":"u","tasks":[{"path":"/"}]})", "team"},
        bad_job{R"({"team":7,"upstream":"u","tasks":[{"path":"/"}]})", "team"},
        bad_job{R"({"team":"","upstream":"u","tasks":[{"path":"/"}]})", "team"},
        bad_job{R"({"team":"t","tasks":[{"path":"/"}]})", "upstream"},
        bad_job{R"({"team":"t","upstream":"u"})", "tasks"},
        bad_job{R"({"team":"t","upstream":"u","tasks":[]})", "tasks"},
        bad_job{R"({"team":"t","upstream":"u","tasks":{}})", "tasks"},
        bad_job{
            R"({"team":"t","upstream":"u","tasks":[{"path":"/"},{"path":"/"},{"path":"/"},{"path":"/"}]})",
            "tasks"},
        bad_job{R"({"team":"t","upstream":"u","tasks":[7]})", "tasks[0]"},
        bad_job{R"({"team":"t","upstream":"u","tasks":[{"path":"/"},{}]})", "tasks[1].path"},
        bad_job{R"({"team":"t","upstream":"u","tasks":[{"path":"x"}]})", "tasks[0].path"},
        bad_job{R"({"team":"t","upstream":"u","tasks":[{"path":"/a b"}]})", "tasks[0].path"},
        bad_job{R"({"team":"t","upstream":"u","tasks":[{"path":"/\r\nX: y"}]})", "tasks[0].path"},
        bad_job{R"({"team":"t","upstream":"u","tasks":[{"path":"/","body":"123456789"}]})",
                "tasks[0].body"},
        bad_job{R"({"team":"t","upstream":"u","tasks":[{"path":"/","idempotent":1}]})",
                "tasks[0].idempotent"},
        bad_job{R"({"team":"t","upstream":"u","tasks":[{"path":"/","expected_ms":-1}]})",
                "tasks[0].expected_ms"},
        bad_job{R"({"team":"t","upstream":"u","tasks":[{"path":"/","bdy":"x"}]})", "tasks[0].bdy"},
        bad_job{R"({"team":"t","upstream":"u","deadline_ms":1001,"tasks":[{"path":"/"}]})",
                "deadline_ms"},
        bad_job{R"({"team":"t","upstream":"u","deadline_ms":1.5,"tasks":[{"path":"/"}]})",
                "deadline_ms"},
        bad_job{R"({"team":"t","upstream":"u","tasks":[{"path":"/"}],"x":1})", "x"}));

TEST(answer_json, replaces_bytes_that_are_not_utf_8) {
    answer it;
    it.state = answer_state::complete;
    it.results = {{200, "\xff"}};
    EXPECT_EQ(to_json(it, "i"),
              "{\"id\":\"i\",\"results\":[{\"body\":\"\xEF\xBF\xBD\",\"status\":200}],"
              "\"state\":\"complete\"}");
}

struct count_case {
    const char* text;
    std::size_t expected; // 0 when rejected
};

class count_parsing : public testing::TestWithParam<count_case> {};

TEST_P(count_parsing, accepts_one_to_the_limit) {
    const auto parsed = parse_count(GetParam().text, 10);
    const auto* n = std::get_if<std::size_t>(&parsed);
    EXPECT_EQ(n != nullptr ? *n : 0, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table, count_parsing,
    testing::Values(count_case{"", 1}, count_case{"{}", 1}, count_case{R"({"count":10})", 10},
                    count_case{R"({"count":11})", 0}, count_case{R"({"count":0})", 0},
                    count_case{R"({"count":"1"})", 0}, count_case{R"({"n":1})", 0}));

} // namespace
} // namespace savorytrail::job
