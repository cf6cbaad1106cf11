// The command explain-placement. Guards against a status that scripts take for success when the
// entry has not explained anything, and against half-printed answers.
#include "core/control/explain_placement.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "unit_tests/control/fake_environment.h"

namespace savorytrail::control {
namespace {

constexpr const char* answer_text = R"({"entry":"front-0","queue":"short","priority":0,
"rank":{"urgency":"on_time","key":3.0},"slack_ms":81,"on_time_for_ms":141,"late_for_ms":423,
"wanted_for_ms":2000,"all_drained":false,"out_of_time":false,
"targets":[{"cell":"front-0","own_domain":true,"age_ms":null,"capacity_cores":64,"usable_cores":64,
"sent_since_cores":0,"backlog_ms":0,"cost_ms":0,"weight":64000,"probability":1}],
"own_cell":{"admitted":true,"capacity_cores":51,"age_ms":12,"work_ahead_ms":0,"work_waiting_ms":0,
"jobs_ahead":0,"first_tasks":1,"first_tasks_fitting":1,"room_unclaimed":true,
"held_back_for_priority":null,"starts_paused":false,
"tasks":[{"step":0,"index":0,"executor":"i-1","executors_that_can":2,"options":[
{"executor":"i-1","cost":{"drained":false,"avoided":false,"other_rack":false,"cold":false,
"late":false,"interference":0,"speed_steps":0,"packing_loss":0,"cpu_millis_left":1000}},
{"executor":"i-2","worse_by":"cold","cost":{"drained":false,"avoided":false,"other_rack":false,
"cold":true,"late":false,"interference":0,"speed_steps":0,"packing_loss":0,"cpu_millis_left":0}}]}],
"left_out":[{"executor":"i-3","step":0,"reasons":["quarantined","no_room"]}]}})";

struct answer_case {
    const char* name;
    std::string job;
    std::optional<http::response> answer; // nullopt: the entry cannot be reached
    exit_status expected;
    std::string out; // parts of the output
    std::string err;
};

std::ostream& operator<<(std::ostream& out, const answer_case& it) {
    return out << it.name;
}

http::response make_answer(int status, const std::string& body) {
    http::response it;
    it.status = status;
    it.body = body;
    return it;
}

class explain_placement_test : public testing::TestWithParam<answer_case> {};

TEST_P(explain_placement_test, prints_a_table_or_an_error) {
    const auto path = testing::TempDir() + "explain_placement_" + GetParam().name + ".json";
    std::ofstream(path) << GetParam().job;
    fake_environment env;
    if (GetParam().answer)
        env.answers["10.1.0.1:9464/explain-placement"] = *GetParam().answer;
    captured_output output;
    console io = output.as_text();
    explain_placement_options options;
    options.path = path;
    options.entry = {"10.1.0.1", 9464};
    options.queue = "short";
    EXPECT_EQ(explain_placement(options, env, io), GetParam().expected);
    EXPECT_NE(output.out.str().find(GetParam().out), std::string::npos) << output.out.str();
    EXPECT_NE(output.err.str().find(GetParam().err), std::string::npos) << output.err.str();
    EXPECT_EQ(output.out.str().empty(), GetParam().expected != exit_status::ok);
    if (!env.posted.empty()) {
        const auto sent = nlohmann::json::parse(env.posted);
        EXPECT_EQ(sent.at("queue"), "short");
        EXPECT_EQ(sent.at("job"), nlohmann::json::parse(GetParam().job));
    }
}

const answer_case cases[] = {
    {"chosen", "{}", make_answer(200, answer_text), exit_status::ok,
     "  0.0  i-1       cpu_millis_left=1000", ""},
    {"next_best", "{}", make_answer(200, answer_text), exit_status::ok, "cold", ""},
    {"left_out", "{}", make_answer(200, answer_text), exit_status::ok, "quarantined no_room", ""},
    {"no_json", "{", std::nullopt, exit_status::bad_input, "", "not a JSON object"},
    {"unknown_queue", "{}", make_answer(404, R"({"error":"no queue named short"})"),
     exit_status::bad_input, "", "no queue named short"},
    {"other_server", "{}", make_answer(404, ""), exit_status::bad_input, "", "status 404"},
    {"malformed", "{}", make_answer(200, R"({"queue":"short"})"), exit_status::bad_input, "",
     "malformed"},
    {"unreachable", "{}", std::nullopt, exit_status::bad_input, "", "not reached"},
};

INSTANTIATE_TEST_SUITE_P(answers, explain_placement_test, testing::ValuesIn(cases),
                         [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace savorytrail::control
