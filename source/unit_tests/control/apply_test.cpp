// The commands diff and apply: output and exit status for each outcome.
#include "core/control/apply.h"

#include <gtest/gtest.h>

#include "unit_tests/control/fake_environment.h"

namespace savorytrail::control {
namespace {

using common::error;
using platform::fault;

constexpr const char* text = R"(teams = [{name = "desk"}]
[[upstreams]]
name = "booking"
executors = [{name = "a", failure_domain = "zilina", address = "10.0.0.1:80"}]
)";

constexpr const char* status_path = "/v1/status";

http::response status_of(const std::string& vm, int version) {
    return {200, R"({"vm":")" + vm + R"(","failure_domain":"zilina","ready":true,)" +
                     R"("configuration_version":)" + std::to_string(version) + "}"};
}

class apply_test : public testing::Test {
protected:
    apply_options options_for(const std::string& author) {
        apply_options options;
        options.path = path;
        options.author = author;
        return options;
    }

    exit_status run(const apply_options& options) {
        console io = output.as_text();
        return apply(options, env, io);
    }

    const std::string path = write_file("apply.toml", text);
    fake_environment env;
    captured_output output;
};

TEST_F(apply_test, reports_the_version_when_no_entries_are_given) {
    EXPECT_EQ(run(options_for("pipeline")), exit_status::ok);
    EXPECT_EQ(output.out.str(), "accepted as version 1\n"
                                "entries not checked: no --entries given\n");
}

TEST_F(apply_test, reports_the_winner_of_a_conflict) {
    run(options_for("anna"));
    apply_options conflicting = options_for("boris");
    conflicting.change_id = "b";
    conflicting.expected_version = 0;
    EXPECT_EQ(run(conflicting), exit_status::refused);
    EXPECT_EQ(output.err.str(), "conflict: version 1 by anna at 2026-12-03T22:00:00Z (change "
                                "00000000000012340000000000001234) is the current configuration; "
                                "nothing changed\n");
}

TEST_F(apply_test, prints_a_conflict_as_json) {
    run(options_for("anna"));
    captured_output second;
    console io = second.as_json();
    apply_options conflicting = options_for("boris");
    conflicting.change_id = "b";
    conflicting.expected_version = 7;
    EXPECT_EQ(apply(conflicting, env, io), exit_status::refused);
    EXPECT_EQ(second.out.str(),
              R"({"outcome":"conflict","winner":{"applied_at":"2026-12-03T22:00:00Z",)"
              R"("author":"anna","change_id":"00000000000012340000000000001234","version":1}})"
              "\n");
}

TEST_F(apply_test, retries_after_a_lost_answer) {
    env.table.fail_next_commits({{error::timed_out, true}});
    EXPECT_EQ(run(options_for("pipeline")), exit_status::ok);
    EXPECT_EQ(env.table.read_newer("configuration/manifest", 0).value()->version, 1U);
}

TEST_F(apply_test, reports_how_to_resolve_an_unknown_outcome) {
    env.table.fail_next_commits(std::deque<fault>(1000, {error::timed_out, false}));
    apply_options options = options_for("pipeline");
    options.change_id = "build-7";
    EXPECT_EQ(run(options), exit_status::unreachable);
    EXPECT_NE(output.err.str().find("no answer from the platform; retrying\n"), std::string::npos);
    EXPECT_TRUE(output.err.str().ends_with(
        "error: it is unknown whether the change was accepted (no answer within the time bound); "
        "to find out, repeat the command with --change-id build-7\n"))
        << output.err.str();
}

TEST_F(apply_test, reports_that_nothing_changed_when_the_platform_is_unavailable) {
    env.table.fail_next_reads(std::deque<fault>(1000, {error::unavailable, false}));
    EXPECT_EQ(run(options_for("pipeline")), exit_status::unreachable);
    EXPECT_TRUE(output.err.str().ends_with("error: platform: unavailable; nothing changed\n"));
    EXPECT_EQ(env.table.commits(), 0);
}

TEST_F(apply_test, rejects_an_invalid_manifest_before_calling_the_platform) {
    apply_options options = options_for("pipeline");
    options.path = write_file("bad.toml", "teams = 1\n");
    EXPECT_EQ(run(options), exit_status::bad_input);
    EXPECT_EQ(output.err.str(), options.path + ":1:9: teams: expected a list of tables [[teams]], "
                                               "found 1\n");
    EXPECT_EQ(env.table.reads(), 0);
}

struct rollout_case {
    const char* name;
    std::map<std::string, http::response> answers;
    std::map<std::string, http::response> later_answers;
    exit_status expected;
    std::string out;
    std::string err;
};

std::ostream& operator<<(std::ostream& out, const rollout_case& it) {
    return out << it.name;
}

class rollouts : public testing::TestWithParam<rollout_case> {};

TEST_P(rollouts, are_polled_until_the_deadline) {
    fake_environment env;
    env.answers = GetParam().answers;
    env.later_answers = GetParam().later_answers;
    env.answers_change_after = common::milliseconds(1500);
    captured_output output;
    console io = output.as_text();
    apply_options options;
    options.path = write_file("spread.toml", text);
    options.entries = {{"10.1.0.1", 80}, {"10.1.0.2", 80}};
    options.wait = common::milliseconds(2000);
    EXPECT_EQ(apply(options, env, io), GetParam().expected);
    EXPECT_EQ(output.out.str(), GetParam().out);
    EXPECT_EQ(output.err.str(), GetParam().err);
}

const std::string first = std::string("10.1.0.1:80") + status_path;
const std::string second = std::string("10.1.0.2:80") + status_path;

const rollout_case rollout_cases[] = {
    {"at_once",
     {{first, status_of("entry-1", 1)}, {second, status_of("entry-2", 2)}},
     {},
     exit_status::ok,
     "accepted as version 1\nin force on 2 of 2\n",
     ""},
    {"after_a_delay",
     {{first, status_of("entry-1", 1)}},
     {{second, status_of("entry-2", 1)}},
     exit_status::ok,
     "accepted as version 1\nin force on 2 of 2\n",
     "waiting: in force on 1 of 2\n"},
    {"not_in_time",
     {{first, status_of("entry-1", 0)}},
     {},
     exit_status::not_in_force,
     "accepted as version 1\nin force on 0 of 2\n",
     "waiting: in force on 0 of 2\n"
     "  entry-1 at 10.1.0.1:80: version 0\n"
     "  10.1.0.2:80: not reached, nothing was sent\n"},
};

INSTANTIATE_TEST_SUITE_P(apply, rollouts, testing::ValuesIn(rollout_cases),
                         [](const auto& it) { return std::string(it.param.name); });

TEST_F(apply_test, diff_shows_changes_against_the_current_version) {
    console io = output.as_text();
    EXPECT_EQ(diff(path, {}, env, io), exit_status::ok);
    EXPECT_NE(output.out.str().find("+ executor booking/a\n"), std::string::npos);
    EXPECT_NE(output.out.str().find(" changes against an empty configuration\n"),
              std::string::npos);
    run(options_for("pipeline"));

    captured_output after;
    console io_after = after.as_text();
    EXPECT_EQ(diff(path, {}, env, io_after), exit_status::ok);
    EXPECT_EQ(after.out.str(), "0 changes against version 1\n");
}

} // namespace
} // namespace savorytrail::control
