// Tests of the codecs between the platform's formats and the product's types.
#include <cmath>
#include <gtest/gtest.h>

#include "platform/entry_settings.h"
#include "platform/executor_codec.h"
#include "platform/job_codec.h"
#include "platform/rows_codec.h"

namespace savorytrail::platform_adapter {
namespace {

using common::milliseconds;
using work::order_status;

struct reply_case {
    const char* name;
    int status;
    const char* body;
    order_status expected;
    std::optional<std::int64_t> clock_ms;
};

class order_replies : public testing::TestWithParam<reply_case> {};

TEST_P(order_replies, are_decoded) {
    const auto reply = decode_order_reply(GetParam().status, GetParam().body);
    EXPECT_EQ(reply.status, GetParam().expected);
    EXPECT_EQ(reply.clock_ms, GetParam().clock_ms);
}

INSTANTIATE_TEST_SUITE_P(
    codec, order_replies,
    testing::Values(
        reply_case{"accepted", 200, R"({"clockMs":5})", order_status::accepted, 5},
        reply_case{"fence", 409, R"({"clockMs":5,"reason":"fence"})", order_status::fenced, 5},
        reply_case{"old", 409, R"({"clockMs":5,"reason":"old"})", order_status::outdated, 5},
        reply_case{"late", 409, R"({"clockMs":5,"reason":"late"})", order_status::lease_expired, 5},
        reply_case{"room", 409, R"({"clockMs":5,"reason":"room"})",
                   order_status::insufficient_resources, 5},
        // A field of another type must not end the process by an exception.
        reply_case{"reason_of_another_type", 409, R"({"clockMs":5,"reason":{"why":[7]}})",
                   order_status::malformed, 5},
        reply_case{"no_ticket", 409, R"({"reason":"ticket"})", order_status::malformed,
                   std::nullopt},
        reply_case{"wrong_executor", 421, "", order_status::wrong_executor, std::nullopt},
        reply_case{"busy", 429, "", order_status::unhealthy, std::nullopt},
        reply_case{"unhealthy", 503, "x", order_status::unhealthy, std::nullopt},
        reply_case{"bad_order", 400, "", order_status::malformed, std::nullopt},
        reply_case{"not_from_an_executor", 502, "<html>", order_status::no_answer, std::nullopt}),
    [](const auto& it) { return it.param.name; });

TEST(executor_codec, encodes_a_start_order) {
    const cell::start_order order{{{"5c0e7a21d94b36f8", 0, 1, 17}, 2}, "(text)", 486000, 7, false};
    EXPECT_EQ(encode(order), R"x({"fence":7,"run":2,"spec":"(text)",)x"
                             R"x("task":"5c0e7a21d94b36f8.0.1.17","untilMs":486000})x");
}

TEST(executor_codec, encodes_a_lease_renewal_only_when_set) {
    EXPECT_EQ(encode(cell::report_request{1, 7, 57, std::nullopt, milliseconds(0)}),
              R"({"ackedUpto":57,"fence":7})");
    EXPECT_EQ(encode(cell::report_request{1, 7, 57, 486000, milliseconds(1000)}),
              R"({"ackedUpto":57,"fence":7,"untilMs":486000,"waitMs":1000})");
}

TEST(executor_codec, decodes_a_report) {
    const auto report = decode_report(
        R"({"clockMs":482113,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00",41]],)"
        R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"x.0.0.1",3,"alone",""]]})");
    ASSERT_TRUE(report);
    work::run_report expected;
    expected.clock_ms = 482113;
    expected.start_time_ms = 9;
    expected.running = {{{"5c0e7a21d94b36f8", 0, 1, 17}, 2}};
    expected.ended = {{58, {{"5c0e7a21d94b36f8", 0, 1, 9}, 1}, work::run_end::done},
                      {59, {{"x", 0, 0, 1}, 3}, work::run_end::broken}};
    EXPECT_EQ(*report, expected);
}

class unreadable_reports : public testing::TestWithParam<const char*> {};

TEST_P(unreadable_reports, are_rejected) {
    EXPECT_FALSE(decode_report(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
    codec, unreadable_reports,
    testing::Values("", "[]", "{}", R"({"clockMs":"5","running":[],"ended":[]})",
                    R"({"running":[],"ended":[]})", R"({"clockMs":5,"running":[[]],"ended":[]})",
                    R"({"clockMs":5,"running":[],"ended":[["a","b",1,"done",""]]})"));

// A report without the list of its runs was read as one of an executor that runs nothing: all its
// runs counted as lost, and were started again elsewhere beside the first ones.
INSTANTIATE_TEST_SUITE_P(lists, unreadable_reports,
                         testing::Values(R"({"clockMs":5})", R"({"clockMs":5,"ended":[]})",
                                         R"({"clockMs":5,"running":[]})",
                                         R"({"clockMs":5,"running":null,"ended":[]})",
                                         R"({"clockMs":5,"running":[],"ended":null})",
                                         R"({"clockMs":5,"running":{},"ended":[]})",
                                         R"({"clockMs":5,"running":[],"ended":{}})"));

TEST(executor_codec, reads_a_report_of_an_executor_that_runs_nothing) {
    const auto report = decode_report(R"({"clockMs":5,"running":[],"ended":[]})");
    ASSERT_TRUE(report);
    EXPECT_EQ(report->clock_ms, 5);
    EXPECT_TRUE(report->running.empty());
    EXPECT_TRUE(report->ended.empty());
}

struct task_case {
    const char* text;
    std::optional<work::task_id> task;
};

class task_names : public testing::TestWithParam<task_case> {};

TEST_P(task_names, are_decoded_or_rejected) {
    EXPECT_EQ(decode_task(GetParam().text), GetParam().task);
}

INSTANTIATE_TEST_SUITE_P(codec, task_names,
                         testing::Values(task_case{"a.1.2.3", work::task_id{"a", 1, 2, 3}},
                                         task_case{"a.1.2", std::nullopt},
                                         task_case{".1.2.3", std::nullopt},
                                         task_case{"a.1.2.x", std::nullopt},
                                         task_case{"a.1.2.3.4", std::nullopt}));

constexpr const char* valid_executor =
    R"({"service":"u","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,)"
    R"("state":"draining","capacity":{"cpu":16000,"memMb":32768,"gpu":1},"labels":["a","r1-3"],)"
    R"("born":12,"clockMs":482113,"seq":4})";

TEST(rows_codec, decodes_an_executor) {
    const auto it = decode_executor("i-1", valid_executor);
    ASSERT_TRUE(it);
    const work::executor_info expected{
        "i-1", {"10.128.0.9", 8080}, "z", "u", {16000, 32768, 1}, {"a", "r1-3"}, true, 12};
    EXPECT_EQ(*it, expected);
}

struct cold_case {
    const char* field; // of the executor's row
    int expected_ms;
};

class cold_executors : public testing::TestWithParam<cold_case> {};

// A malformed value made an executor unusable, or a value that changes with each heartbeat made
// entries pass on the executor's row each time.
TEST_P(cold_executors, are_decoded) {
    auto text = std::string(valid_executor);
    text.insert(1, GetParam().field);
    const auto it = decode_executor("i-1", text);
    ASSERT_TRUE(it);
    EXPECT_EQ(it->cold_left, milliseconds(GetParam().expected_ms));
}

INSTANTIATE_TEST_SUITE_P(codec, cold_executors,
                         testing::Values(cold_case{"", 0}, cold_case{R"("coldLeftMs":0,)", 0},
                                         cold_case{R"("coldLeftMs":1,)", 1000},
                                         cold_case{R"("coldLeftMs":2000,)", 2000},
                                         cold_case{R"("coldLeftMs":2000.5,)", 3000},
                                         cold_case{R"("coldLeftMs":-5,)", 0},
                                         cold_case{R"("coldLeftMs":1e300,)", 600000},
                                         cold_case{R"("coldLeftMs":"3000",)", 0},
                                         cold_case{R"("coldLeftMs":null,)", 0}));

class unusable_executors : public testing::TestWithParam<const char*> {};

TEST_P(unusable_executors, are_rejected) {
    EXPECT_FALSE(decode_executor("i", GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
    codec, unusable_executors,
    testing::Values(
        "", "\xff\xfe", "7", "{}",
        R"({"service":"u","address":"nowhere","zone":"z","state":"ready","capacity":{}})",
        R"({"service":"u","address":"1.2.3.4:5","zone":"z","state":"odd","capacity":{}})",
        R"({"service":5,"address":"1.2.3.4:5","zone":"z","state":"ready","capacity":{}})",
        R"({"service":"u","address":"1.2.3.4:5","zone":"z","state":"ready"})"));

TEST(rows_codec, decodes_rows_and_deleted_rows) {
    const auto rows =
        decode_rows(R"({"rows":[{"table":"t","part":"","key":"a","value":"aGk=","ver":4},)"
                    R"({"table":"t","part":"","key":"b","ver":5,"tombstone":true}],)"
                    R"("hasMore":true,"ver":9,"nowMs":1})");
    ASSERT_TRUE(rows);
    const store_rows expected{{{"a", "hi", 4, false}, {"b", "", 5, true}}, 9, true};
    EXPECT_EQ(*rows, expected);
}

TEST(rows_codec, decodes_the_configuration) {
    const auto it = decode_configuration(
        R"({"version":7,"routes":[{"name":"r","host":"h.example","prefix":"/p/","timeoutMs":1500,)"
        R"("targetDurationMs":60,"priority":2,"service":"u","maxAttempts":3,"stretch":1.6}]})");
    ASSERT_TRUE(it);
    const route::configuration expected{
        7, {{"h.example", "/p/", {"r", "u", 2, 3, 1.6, milliseconds(60)}, milliseconds(1500)}}};
    EXPECT_EQ(*it, expected);
}

struct body_case {
    const char* name;
    const char* body;
    bool is_accepted;
    bool is_malformed;
};

class job_bodies : public testing::TestWithParam<body_case> {};

TEST_P(job_bodies, are_accepted_or_rejected_with_a_reason) {
    const auto it = decode_job_body("5c0e7a21d94b36f8", GetParam().body, {});
    EXPECT_EQ(std::holds_alternative<work::job>(it), GetParam().is_accepted);
    if (const auto* problem = std::get_if<job_problem>(&it)) {
        EXPECT_EQ(problem->is_malformed, GetParam().is_malformed) << problem->text;
        EXPECT_FALSE(problem->text.empty());
    }
}

INSTANTIATE_TEST_SUITE_P(
    codec, job_bodies,
    testing::Values(
        body_case{"plain", R"({"spec":"s","steps":[{"count":2,"cpu":5}],"bestEffort":true})", true,
                  false},
        body_case{"two_steps",
                  R"({"steps":[{"count":1},{"count":1,"after":[0]}],"bestEffort":true})", true,
                  false},
        body_case{"kept", R"({"spec":"s","steps":[{"count":2}]})", false, false},
        body_case{"gang", R"({"steps":[{"count":2,"gang":true}],"bestEffort":true})", false, false},
        body_case{"repeats", R"({"steps":[{"count":2}],"bestEffort":true,"repeatCount":3})", false,
                  false},
        body_case{"no_steps", R"({"spec":"s","steps":[],"bestEffort":true})", false, true},
        body_case{"no_tasks", R"({"steps":[{"count":0}],"bestEffort":true})", false, true},
        body_case{"later_step", R"({"steps":[{"count":1,"after":[0]}],"bestEffort":true})", false,
                  true},
        // A small body must not make the dispatcher allocate records without bound.
        body_case{"too_many_tasks_in_all",
                  R"({"steps":[{"count":60000},{"count":60000}],"bestEffort":true})", false, true},
        body_case{"absurd_estimate",
                  R"({"steps":[{"count":1,"estimateMs":1000000000000000}],"bestEffort":true})",
                  true, false},
        body_case{"wrong_type", R"({"steps":[{"count":"x"}],"bestEffort":true})", false, true},
        body_case{"negative", R"({"steps":[{"count":1,"cpu":-5}],"bestEffort":true})", false, true},
        // The fraction of an estimate says nothing.
        body_case{"fraction",
                  R"({"steps":[{"count":1,"cpu":5.5,"estimateMs":12.5}],"bestEffort":true})", true,
                  false},
        // Such numbers were taken for others: a job of 4294967297 tasks ran as one of a single
        // task.
        body_case{"count_beyond_its_type", R"({"steps":[{"count":4294967297}],"bestEffort":true})",
                  false, true},
        body_case{"cpu_beyond_64_bits_signed",
                  R"({"steps":[{"count":1,"cpu":18446744073709551615}],"bestEffort":true})", false,
                  true},
        body_case{"memory_beyond_every_integer",
                  R"({"steps":[{"count":1,"memMb":1e300}],"bestEffort":true})", false, true},
        body_case{"estimate_beyond_every_integer",
                  R"({"steps":[{"count":1,"estimateMs":1e300}],"bestEffort":true})", false, true},
        body_case{"step_beyond_its_type",
                  R"({"steps":[{"count":1},{"count":1,"after":[4294967296]}],"bestEffort":true})",
                  false, true},
        body_case{"limit_beyond_its_type",
                  R"({"steps":[{"count":1,"maxPerServer":4294967296}],"bestEffort":true})", false,
                  true},
        body_case{"repeats_beyond_its_type",
                  R"({"steps":[{"count":1}],"bestEffort":true,"repeatCount":4294967296})", false,
                  false},
        body_case{"no_json", "steps", false, true}),
    [](const auto& it) { return it.param.name; });

// Times that are added to the clock overflowed, so that the job counted as too late on arrival.
TEST(job_bodies, bound_an_absurd_estimate) {
    const auto it = decode_job_body(
        "5c0e7a21d94b36f8",
        R"({"steps":[{"count":1,"estimateMs":1000000000000000}],"bestEffort":true})", {});
    EXPECT_EQ(std::get<work::job>(it).steps[0].estimate, work::max_duration);
}

TEST(answers, give_the_outcome_of_a_job) {
    using work::job_end;
    EXPECT_EQ(encode_answer({job_end::succeeded, "", {}}).body, R"({"state":"succeeded"})");
    EXPECT_EQ(encode_answer({job_end::failed, "", {}}).body, R"({"state":"failed"})");
    EXPECT_EQ(encode_answer({job_end::given_up, "why", {}}).status, 504);
    const auto refused = encode_answer({job_end::not_run, "why", milliseconds(1500)});
    EXPECT_EQ(refused.status, 429);
    EXPECT_EQ(reactor::find_header(refused.headers, "retry-after"), "2");
}

constexpr const char* valid_settings = R"(
node = "front-a-1"
ip = "10.1.0.13"
zone = "a"
portRange = [7720, 7735]
seeds = ["10.1.0.13:8166", "nowhere"]
[listen]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
control = "10.1.0.13:8166"
[limits]
cpuShare = 0.25
[bounds]
graceS = 6
holdMaxMs = 1000
resendMs = 1200
configMs = 2500
drainMs = 2400
[platform]
address = "10.200.1.7:8169"
[unknown]
field = 1
)";

TEST(settings, are_decoded) {
    const auto it = parse_settings(valid_settings);
    ASSERT_TRUE(it);
    entry_settings expected;
    expected.name = "front-a-1";
    expected.host = "10.1.0.13";
    expected.failure_domain = "a";
    expected.caller_address = {"10.1.0.13", 8161};
    expected.readiness_address = {"10.1.0.13", 8167};
    expected.control_address = {"10.1.0.13", 8166};
    expected.first_peer_port = 7720;
    expected.last_peer_port = 7735;
    expected.seed_hosts = {"10.1.0.13"};
    expected.store_address = {"10.200.1.7", 8169};
    expected.cpu_share = 0.25;
    expected.stop_grace = milliseconds(6000);
    expected.longest_lease = milliseconds(1000);
    expected.resend_delay = milliseconds(1200);
    expected.configuration_bound = milliseconds(2500);
    expected.drain_bound = milliseconds(2400);
    EXPECT_EQ(it.value(), expected);
}

TEST(settings, are_rejected_when_incomplete) {
    EXPECT_FALSE(parse_settings("node = "));
    EXPECT_FALSE(parse_settings("node = \"a\""));
}

TEST(entry_rows, survive_encoding_and_decoding) {
    const entry_row it{{"front-1", "a", "10.0.0.1"},
                       {{"q", std::chrono::milliseconds(1800)}},
                       {{0xfedcba9876543210U, -0.35, 120}, {7, 0.5, 300}}};
    EXPECT_EQ(decode_entry(encode_entry(it)), it);
    // A row of an entry that has learnt nothing, or of an earlier version.
    EXPECT_EQ(decode_entry(R"({"name":"front-1","domain":"a","host":"10.0.0.1"})"),
              (entry_row{{"front-1", "a", "10.0.0.1"}, {}, {}}));
    EXPECT_EQ(encode_entry({{"n", "a", "h"}, {}, {}}).find("kind_speeds"), std::string::npos);
    EXPECT_FALSE(decode_entry(R"({"name":"front-1"})"));
    EXPECT_FALSE(
        decode_entry(R"({"name":"n","domain":"a","host":"h","patience_ms":{"q":"soon"}})"));
    EXPECT_FALSE(decode_entry(R"({"name":"n","domain":"a","host":"h","patience_ms":7})"));
}

// A malformed speed must cost neither the row, which names an entry, nor the process.
class malformed_speeds : public testing::TestWithParam<const char*> {};

TEST_P(malformed_speeds, are_decoded_to_values_that_are_not_finite) {
    const std::string value = GetParam();
    const auto it = decode_entry(R"({"name":"n","domain":"a","host":"h","kind_speeds":[)" + value +
                                 R"(,{"kind":"7","log_speed":0.5,"weight":3}]})");
    ASSERT_TRUE(it);
    ASSERT_EQ(it->kind_speeds.size(), 2U);
    EXPECT_TRUE(std::isnan(it->kind_speeds[0].log_speed));
    EXPECT_EQ(it->kind_speeds[1], (fleet::kind_speed{7, 0.5, 3}));
}

INSTANTIATE_TEST_SUITE_P(entry_rows, malformed_speeds,
                         testing::Values("7", "null", "[]", "{}",
                                         R"({"kind":7,"log_speed":0,"weight":1})",
                                         R"({"kind":"xyz","log_speed":0,"weight":1})",
                                         R"({"kind":"7","log_speed":"fast","weight":1})",
                                         R"({"kind":"7","log_speed":0,"weight":-1})",
                                         R"({"kind":"7","log_speed":0,"weight":1e30})",
                                         R"({"kind":"7","log_speed":null,"weight":1})"));

TEST(entry_rows, take_speeds_that_are_no_list_for_none) {
    for (const char* const value : {"7", R"("fast")", "null"}) {
        const auto it = decode_entry(R"({"name":"n","domain":"a","host":"h","kind_speeds":)" +
                                     std::string(value) + "}");
        ASSERT_TRUE(it) << value;
        EXPECT_LE(it->kind_speeds.size(), 1U) << value;
    }
}

} // namespace
} // namespace savorytrail::platform_adapter
