// Tests of settings that are valid by themselves but conflict with each other.
#include <gtest/gtest.h>

#include "core/settings/load.h"
#include "manifest.pb.h"
#include "settings.pb.h"

namespace savorytrail::settings {
namespace {

struct conflict_case {
    const char* name;
    std::string text;
    std::string problems;
};

std::ostream& operator<<(std::ostream& out, const conflict_case& it) {
    return out << it.name;
}

std::string case_name(const testing::TestParamInfo<conflict_case>& it) {
    return it.param.name;
}

constexpr const char* node_table = R"([node]
name = "entry-1"
failure_domain = "zilina"
region = "sk-central"
)";

class settings_conflicts : public testing::TestWithParam<conflict_case> {};

TEST_P(settings_conflicts, are_reported) {
    const auto result =
        load<schema::entry_settings>({node_table + GetParam().text, "entry.toml", {}});
    EXPECT_EQ(to_string(result.problems), GetParam().problems);
}

const conflict_case settings_cases[] = {
    {"same_listen_address", R"([platform]
url = "http://10.0.0.1:7000"
[callers]
listen = "10.1.0.1:9000"
[peers]
listen = "10.1.0.1:9000"
)",
     "entry.toml:10:10: peers.listen: 10.1.0.1:9000 is already the address of callers.listen\n"},
    {"heartbeat_not_below_suspicion", R"([platform]
url = "http://10.0.0.1:7000"
[callers]
listen = "10.1.0.1:8080"
[peers]
listen = "10.1.0.1:9000"
heartbeat_ms = 3000
)",
     "entry.toml:11:16: peers.heartbeat_ms: peers.suspect_after_ms (3000) must be above "
     "peers.heartbeat_ms (3000)\n"},
    {"several", R"([platform]
url = "http://10.1.0.1:8080"
[callers]
listen = "10.1.0.1:8080"
max_body_bytes = 2048
[peers]
listen = "10.1.0.1:8080"
suspect_after_ms = 1000
[submissions]
max_remembered = 500
)",
     "entry.toml:6:7: platform.url: 10.1.0.1:8080 is already the address of callers.listen\n"
     "entry.toml:6:7: platform.url: 10.1.0.1:8080 is already the address of peers.listen\n"
     "entry.toml:9:18: callers.max_body_bytes: callers.max_task_body_bytes (65536) must not "
     "exceed callers.max_body_bytes (2048)\n"
     "entry.toml:11:10: peers.listen: 10.1.0.1:8080 is already the address of callers.listen\n"
     "entry.toml:12:20: peers.suspect_after_ms: peers.suspect_after_ms (1000) must be above "
     "peers.heartbeat_ms (1000)\n"
     "entry.toml:14:18: submissions.max_remembered: submissions.max_ids_per_call (1000) must not "
     "exceed submissions.max_remembered (500)\n"},
    {"invalid_values_do_not_conflict", R"([platform]
url = "http://10.0.0.1:7000"
[callers]
listen = "10.1.0.1:8080"
[peers]
listen = "10.1.0.1:9000"
suspect_after_ms = 100
heartbeat_ms = 100000
)",
     "entry.toml:12:16: peers.heartbeat_ms: expected a whole number of ms from 50 to 10000, found "
     "100000\n"},
};

INSTANTIATE_TEST_SUITE_P(conflicts, settings_conflicts, testing::ValuesIn(settings_cases),
                         case_name);

class manifest_conflicts : public testing::TestWithParam<conflict_case> {};

TEST_P(manifest_conflicts, are_reported) {
    const auto result = load<schema::manifest>({GetParam().text, "m.toml", {}});
    EXPECT_EQ(to_string(result.problems), GetParam().problems);
}

const conflict_case manifest_cases[] = {
    {"empty", "",
     "m.toml:1:1: teams: expected at least one team\n"
     "m.toml:1:1: upstreams: expected at least one upstream\n"},
    {"upstream_without_executors",
     "[[teams]]\nname = \"desk\"\n[[upstreams]]\nname = \"booking\"\n",
     "m.toml:4:8: upstreams[0].name: this upstream has no executors; expected at least one\n"},
    {"team_twice", R"(teams = [{name = "desk"}, {name = "desk"}]
[[upstreams]]
name = "booking"
executors = [{name = "a", failure_domain = "zilina", address = "10.0.0.1:80"}]
)",
     "m.toml:1:35: teams[1].name: \"desk\" is already used on line 1\n"},
    {"executor_twice_in_one_upstream", R"(teams = [{name = "desk"}]
[[upstreams]]
name = "booking"
executors = [
  {name = "a", failure_domain = "zilina", address = "10.0.0.1:80"},
  {name = "a", failure_domain = "zilina", address = "10.0.0.1:80"},
]
)",
     "m.toml:6:11: upstreams[0].executors[1].name: \"a\" is already used on line 5\n"
     "m.toml:6:53: upstreams[0].executors[1].address: \"10.0.0.1:80\" is already used on line 5\n"},
    {"executor_in_two_upstreams", R"(teams = [{name = "desk"}]
[[upstreams]]
name = "booking"
executors = [{name = "a", failure_domain = "zilina", address = "10.0.0.1:80"}]
[[upstreams]]
name = "payment"
executors = [{name = "a", failure_domain = "zilina", address = "10.0.0.1:80"}]
)",
     "m.toml:7:22: upstreams[1].executors[0].name: \"a\" is already used on line 4\n"
     "m.toml:7:64: upstreams[1].executors[0].address: \"10.0.0.1:80\" is already used on line 4\n"},
    {"success_as_not_accepted", R"(teams = [{name = "desk"}]
[[upstreams]]
name = "booking"
not_accepted_status = 200
executors = [{name = "a", failure_domain = "zilina", address = "10.0.0.1:80"}]
)",
     "m.toml:4:23: upstreams[0].not_accepted_status: expected 0 or a status from 400 to 599, "
     "found 200\n"},
    {"vm_in_two_domains", R"(teams = [{name = "desk"}]
[[upstreams]]
name = "booking"
executors = [
  {name = "a", vm = "v", failure_domain = "zilina", address = "10.0.0.1:80"},
  {name = "b", vm = "v", failure_domain = "martin", address = "10.0.0.1:81"},
]
)",
     "m.toml:6:43: upstreams[0].executors[1].failure_domain: VM \"v\" is in failure domain "
     "\"zilina\" above\n"},
};

INSTANTIATE_TEST_SUITE_P(conflicts, manifest_conflicts, testing::ValuesIn(manifest_cases),
                         case_name);

} // namespace
} // namespace savorytrail::settings
