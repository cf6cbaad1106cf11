// The command explain: output and exit status for each kind of answer.
#include "core/control/explain.h"

#include <gtest/gtest.h>

#include "unit_tests/control/fake_environment.h"

namespace savorytrail::control {
namespace {

const common::endpoint entry{"10.1.0.1", 80};

struct explain_case {
    const char* name;
    std::string job;
    http::response answer;
    exit_status expected;
    std::string out;
    std::string err;
};

std::ostream& operator<<(std::ostream& out, const explain_case& it) {
    return out << it.name;
}

class explain_test : public testing::TestWithParam<explain_case> {};

TEST_P(explain_test, prints_the_story_or_an_error) {
    fake_environment env;
    env.answers["10.1.0.1:80/v1/jobs/j-1/story"] = GetParam().answer;
    captured_output output;
    console io = output.as_text();
    EXPECT_EQ(explain(GetParam().job, entry, env, io), GetParam().expected);
    EXPECT_EQ(output.out.str(), GetParam().out);
    EXPECT_EQ(output.err.str(), GetParam().err);
}

const explain_case cases[] = {
    {"known",
     "j-1",
     {200, R"({"events":[{"at_ms":1000,"event":"received","detail":"by entry-2"},)"
           R"({"at_ms":1012,"event":"task_started","detail":"0 on b-1","extra":1},)"
           R"({"at_ms":1112,"event":"finished"}]})"},
     exit_status::ok,
     "       0 ms  received              by entry-2\n"
     "      12 ms  task_started          0 on b-1\n"
     "     112 ms  finished              \n",
     ""},
    {"without_events", "j-1", {200, R"({"events":[]})"}, exit_status::ok, "", ""},
    {"unknown",
     "j-1",
     {404, ""},
     exit_status::refused,
     "",
     "error: no story for job j-1: entry answered with status 404\n"},
    {"server_error",
     "j-1",
     {503, ""},
     exit_status::unreachable,
     "",
     "error: entry answered with status 503\n"},
    {"not_json",
     "j-1",
     {200, "?"},
     exit_status::refused,
     "",
     "error: the entry's answer is malformed\n"},
    {"unreachable",
     "j-2",
     {200, ""},
     exit_status::unreachable,
     "",
     "error: entry 10.1.0.1:80: not reached, nothing was sent\n"},
    {"invalid_job_id",
     "../status",
     {200, ""},
     exit_status::bad_input,
     "",
     "error: invalid job id: ../status\n"},
};

INSTANTIATE_TEST_SUITE_P(explain, explain_test, testing::ValuesIn(cases),
                         [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace savorytrail::control
