// Fuzzes every parser of external input with random and mutated bytes. A parser must not crash or
// accept input beyond its limits, and accepted input must round-trip.
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "core/common/endpoint.h"
#include "core/job/job_json.h"
#include "core/manifest/manifest.h"
#include "core/peer/codec.h"
#include "core/report/saved.h"
#include "core/settings/load.h"
#include "core/submission/submission_id.h"
#include "core/telemetry/scrape.h"
#include "peer.pb.h"
#include "settings.pb.h"

namespace savorytrail {
namespace {

// Generates random bytes, or `valid` with a few bytes replaced, removed, inserted or repeated.
rc::Gen<std::string> mutated(const std::string& valid) {
    return rc::gen::oneOf(
        rc::gen::arbitrary<std::string>(), rc::gen::exec([valid] {
            std::string text = valid;
            const int changes = *rc::gen::inRange(1, 6);
            for (int i = 0; i < changes && !text.empty(); i++) {
                const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
                const auto length = *rc::gen::inRange<std::size_t>(0, 8);
                switch (*rc::gen::inRange(0, 4)) {
                case 0:
                    text[at] = *rc::gen::arbitrary<char>();
                    break;
                case 1:
                    text.erase(at, length);
                    break;
                case 2:
                    text.insert(at,
                                *rc::gen::container<std::string>(
                                    length, rc::gen::elementOf(std::string("{}[]\",:=\n\\09-e"))));
                    break;
                default:
                    text.insert(at, text.substr(at, length * 8));
                }
            }
            return text;
        }));
}

const std::string s_job =
    R"({"team":"t","upstream":"u","deadline_ms":900,"tasks":[{"path":"/a?b=1","body":"x",)"
    R"("idempotent":true,"expected_ms":50},{"path":"/c"}]})";

const std::string s_manifest = "[[teams]]\nname = \"t\"\n[[upstreams]]\nname = \"u\"\n"
                               "task_timeout_ms = 500\n[[upstreams.executors]]\nname = \"e\"\n"
                               "failure_domain = \"d\"\naddress = \"10.0.0.1:80\"\nslots = 8\n"
                               "[objectives]\navailability = 0.99\n";

const std::string s_settings =
    "[node]\nname = \"a\"\nfailure_domain = \"d\"\nregion = \"r\"\n[callers]\n"
    "listen = \"10.0.0.1:80\"\n[peers]\nlisten = \"10.0.0.1:81\"\n[platform]\n"
    "url = \"http://10.0.0.2:80\"\npoll_ms = 100\n";

const std::string s_scrape = "# HELP a A.\n# TYPE a counter\na{x=\"1\",y=\"\\\"\"} 2.5\nb +Inf\n";

peer::forward_request sample_request() {
    peer::forward_request it;
    it.kind = peer::request_kind::submit;
    it.job = job::job{"t", "u", common::milliseconds(5), {{"/a", "x", true, {}}}};
    it.wait = common::milliseconds(7);
    it.came_in_at = "vm";
    return it;
}

peer::forward_result sample_result() {
    peer::forward_result it;
    it.answer.state = job::answer_state::failed;
    it.answer.why = job::reason::task_unknown;
    it.answer.results = {{200, "body"}};
    it.answer.tasks = {job::task_state::ran, job::task_state::unknown};
    it.current = {1, 2};
    it.story = "{}";
    return it;
}

template <class Message, class Value>
std::string encode(const Value& value) {
    Message message;
    peer::to_message(value, message);
    return message.SerializeAsString();
}

// Whether bytes that are accepted decode to the same value after another encoding and decoding.
template <class Message>
bool round_trips(const std::string& bytes) {
    Message message;
    if (!message.ParseFromString(bytes))
        return true;
    const auto value = peer::from_message(message);
    if (!value)
        return true;
    Message again;
    again.ParseFromString(encode<Message>(*value));
    return peer::from_message(again) == value;
}

// Guards the samples: if a parser rejected its sample, mutations would only test rejection.
TEST(valid_input, is_accepted_by_every_parser) {
    EXPECT_TRUE(std::holds_alternative<job::job>(job::parse_job(s_job, {})));
    EXPECT_TRUE(manifest::parse(s_manifest).has_value());
    EXPECT_TRUE(settings::load<schema::entry_settings>({s_settings, "f", {}}).ok());
    EXPECT_TRUE(telemetry::parse_scrape(s_scrape));
    schema::forward_request request;
    ASSERT_TRUE(request.ParseFromString(encode<schema::forward_request>(sample_request())));
    EXPECT_EQ(peer::from_message(request), sample_request());
}

RC_GTEST_PROP(parser_fuzz, job_json_keeps_its_limits, ()) {
    const job::job_limits limits{3, 8, 16, common::milliseconds(1000)};
    const auto parsed = job::parse_job(*mutated(s_job), limits);
    if (const auto* it = std::get_if<job::job>(&parsed)) {
        RC_ASSERT(!it->tasks.empty() && it->tasks.size() <= limits.max_tasks);
        RC_ASSERT(it->deadline <= common::milliseconds(1000));
        for (const auto& task : it->tasks)
            RC_ASSERT(task.path.starts_with('/') && task.body.size() <= limits.max_task_body_bytes);
    }
}

RC_GTEST_PROP(parser_fuzz, count_json_keeps_its_limit, ()) {
    const auto parsed = job::parse_count(*mutated(R"({"count":10})"), 10);
    if (const auto* n = std::get_if<std::size_t>(&parsed))
        RC_ASSERT(*n >= 1 && *n <= 10);
}

RC_GTEST_PROP(parser_fuzz, manifest_is_whole_or_refused_with_reasons, ()) {
    const auto parsed = manifest::parse(*mutated(s_manifest));
    if (!parsed) {
        RC_ASSERT(!parsed.error().empty());
        return;
    }
    for (const auto& it : parsed.value().upstreams)
        RC_ASSERT(!it.name.empty() && !it.executors.empty());
}

RC_GTEST_PROP(parser_fuzz, settings_are_whole_or_refused_with_reasons, ()) {
    const auto loaded = settings::load<schema::entry_settings>({*mutated(s_settings), "f", {}});
    if (loaded.ok()) {
        RC_ASSERT(!loaded.value.node().name().empty());
        RC_ASSERT(common::parse_endpoint(loaded.value.callers().listen()).has_value());
        RC_ASSERT(loaded.value.platform().poll_ms() >= 50U);
    }
}

RC_GTEST_PROP(parser_fuzz, submission_ids_have_one_spelling, ()) {
    const auto text =
        *mutated(submission::to_string(submission::submission_id{{1, 2}, 3, 4, 5, 6}));
    if (const auto id = submission::parse_submission_id(text))
        RC_ASSERT(submission::to_string(*id) == text);
}

RC_GTEST_PROP(parser_fuzz, forwarded_requests_survive, ()) {
    RC_ASSERT(round_trips<schema::forward_request>(
        *mutated(encode<schema::forward_request>(sample_request()))));
}

RC_GTEST_PROP(parser_fuzz, forwarded_replies_survive, ()) {
    RC_ASSERT(round_trips<schema::forward_reply>(
        *mutated(encode<schema::forward_reply>(sample_result()))));
}

RC_GTEST_PROP(parser_fuzz, scrapes_and_saved_scrapes_do_no_harm, ()) {
    const auto text = *mutated(s_scrape);
    if (const auto scrape = telemetry::parse_scrape(text)) {
        for (const auto& it : scrape->samples)
            RC_ASSERT(!it.name.empty());
    }
    const auto lines =
        report::read_lines(*mutated(report::to_line({1, "http://10.0.0.1:80", text})));
    if (lines)
        static_cast<void>(report::make_points(lines.value(), 1.5));
}

} // namespace
} // namespace savorytrail
