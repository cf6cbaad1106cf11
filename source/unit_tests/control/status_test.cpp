// The command status: its table and its JSON.
#include "core/control/status.h"

#include <gtest/gtest.h>

#include "unit_tests/control/fake_environment.h"

namespace savorytrail::control {
namespace {

const std::vector<common::endpoint> entries{{"10.1.0.1", 80}, {"10.1.0.20", 80}};

struct status_case {
    const char* name;
    std::map<std::string, http::response> answers;
    exit_status expected;
    std::string text;
    std::string json;
};

std::ostream& operator<<(std::ostream& out, const status_case& it) {
    return out << it.name;
}

class status_test : public testing::TestWithParam<status_case> {};

TEST_P(status_test, prints_text_and_json) {
    fake_environment env;
    env.answers = GetParam().answers;
    captured_output text;
    console text_io = text.as_text();
    EXPECT_EQ(status(entries, env, text_io), GetParam().expected);
    EXPECT_EQ(text.out.str(), GetParam().text);
    captured_output json;
    console json_io = json.as_json();
    EXPECT_EQ(status(entries, env, json_io), GetParam().expected);
    EXPECT_EQ(json.out.str(), GetParam().json);
}

const http::response healthy{
    200, R"({"vm":"entry-1","failure_domain":"zilina","incarnation":"ab","ready":true,)"
         R"("configuration_version":12,"queued_tasks":3,"running_tasks":40})"};
const http::response with_more{
    200, R"({"vm":"entry-20","failure_domain":"martin","incarnation":"cd","ready":false,)"
         R"("configuration_version":11,"cut_off":["zilina"],"ejected":[],"region":"sk"})"};
const std::string first = "10.1.0.1:80/v1/status";
const std::string second = "10.1.0.20:80/v1/status";

const status_case cases[] = {
    {"all_answer",
     {{first, healthy}, {second, with_more}},
     exit_status::ok,
     "ADDRESS       VM        DOMAIN  READY  VERSION  QUEUED  RUNNING  INCARNATION\n"
     "10.1.0.1:80   entry-1   zilina  yes    12       3       40       ab\n"
     "10.1.0.20:80  entry-20  martin  no     11       0       0        cd\n"
     "entry-20: cut_off=[\"zilina\"] region=\"sk\"\n",
     R"({"entries":[{"address":"10.1.0.1:80","status":{"configuration_version":12,)"
     R"("failure_domain":"zilina","incarnation":"ab","queued_tasks":3,"ready":true,)"
     R"("running_tasks":40,"vm":"entry-1"}},{"address":"10.1.0.20:80","status":{)"
     R"("configuration_version":11,"cut_off":["zilina"],"ejected":[],"failure_domain":"martin",)"
     R"("incarnation":"cd","ready":false,"region":"sk","vm":"entry-20"}}]})"
     "\n"},
    {"no_valid_answers",
     {{second, {200, R"({"vm":1})"}}},
     exit_status::unreachable,
     "ADDRESS       VM  DOMAIN  READY  VERSION  QUEUED  RUNNING  INCARNATION\n"
     "10.1.0.1:80   -   -       -      -        -       -        not reached, nothing was sent\n"
     "10.1.0.20:80  -   -       -      -        -       -        malformed message\n",
     R"({"entries":[{"address":"10.1.0.1:80","error":"not reached, nothing was sent"},)"
     R"({"address":"10.1.0.20:80","error":"malformed message"}]})"
     "\n"},
};

INSTANTIATE_TEST_SUITE_P(status, status_test, testing::ValuesIn(cases),
                         [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace savorytrail::control
