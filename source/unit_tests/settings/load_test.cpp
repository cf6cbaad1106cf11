// Tests of loading: all invalid input is reported at once, each problem with its exact position.
#include "core/settings/load.h"

#include <gtest/gtest.h>

#include <fstream>

#include "manifest.pb.h"
#include "settings.pb.h"

namespace savorytrail::settings {
namespace {

constexpr const char* file = "entry.toml";

// The required settings of an entry; tests append to it.
constexpr const char* minimal_settings = R"([node]
name = "entry-1"
failure_domain = "zilina"
region = "sk-central"
[platform]
url = "http://10.0.0.1:7000"
[peers]
listen = "10.1.0.1:9000"
[callers]
listen = "10.1.0.1:8080"
)";

constexpr int minimal_settings_lines = 10;

TEST(load, sets_values_and_defaults_even_of_absent_tables) {
    const auto result = load<schema::entry_settings>({minimal_settings, file, {}});
    ASSERT_EQ(to_string(result.problems), "");
    EXPECT_EQ(result.value.node().name(), "entry-1");
    EXPECT_EQ(result.value.callers().listen(), "10.1.0.1:8080");
    EXPECT_EQ(result.value.callers().threads(), 256U);
    EXPECT_EQ(result.value.submissions().id_lifetime_ms(), 120000U);
    EXPECT_EQ(result.value.log().level(), "info");
}

TEST(load, manifest_accepts_lists_of_tables) {
    const auto result = load<schema::manifest>({R"(
[[teams]]
name = "desk"
[[upstreams]]
name = "booking"
  [[upstreams.executors]]
  name = "b-1"
  failure_domain = "zilina"
  address = "10.0.0.1:80"
  [[upstreams.executors]]
  name = "b-2"
  failure_domain = "martin"
  address = "10.0.0.2:80"
  slots = 16
[objectives]
response_share = 0.95
availability = 0
)",
                                                "m.toml",
                                                {}});
    ASSERT_EQ(to_string(result.problems), "");
    ASSERT_EQ(result.value.upstreams(0).executors_size(), 2);
    EXPECT_EQ(result.value.upstreams(0).executors(0).slots(), 8U);
    EXPECT_EQ(result.value.upstreams(0).executors(1).slots(), 16U);
    EXPECT_EQ(result.value.objectives().response_share(), 0.95);
    EXPECT_EQ(result.value.objectives().availability(), 0);
    EXPECT_EQ(result.value.objectives().response_over_ideal(), 1.5);
}

struct bad_value {
    const char* name;
    const char* extra; // appended to `minimal_settings`, which ends within [callers]
    int line;          // counted from the end of `minimal_settings`
    int column;
    const char* key;
    const char* message;
};

std::ostream& operator<<(std::ostream& out, const bad_value& it) {
    return out << it.name;
}

class bad_values : public testing::TestWithParam<bad_value> {};

TEST_P(bad_values, give_one_problem_with_its_position) {
    const bad_value& it = GetParam();
    const auto result =
        load<schema::entry_settings>({std::string(minimal_settings) + it.extra, file, {}});
    const std::vector<problem> expected{
        {file, minimal_settings_lines + it.line, it.column, it.key, it.message}};
    EXPECT_EQ(result.problems, expected) << to_string(result.problems);
}

const bad_value bad_value_cases[] = {
    {"unknown_key", "thread = 8\n", 1, 1, "callers.thread",
     "unknown key; known here: listen, threads, max_body_bytes, max_task_body_bytes, "
     "read_timeout_ms, max_wait_ms"},
    {"unknown_table", "[caller]\nthreads = 8\n", 1, 2, "caller",
     "unknown key; known here: node, callers, peers, platform, submissions, dispatch, log, story"},
    {"text_for_number", "threads = \"8\"\n", 1, 11, "callers.threads",
     "expected a whole number from 4 to 4096, found the text \"8\""},
    {"fraction_for_whole", "threads = 8.5\n", 1, 11, "callers.threads",
     "expected a whole number from 4 to 4096, found 8.5"},
    {"whole_fraction_for_whole", "read_timeout_ms = 500.0\n", 1, 19, "callers.read_timeout_ms",
     "expected a whole number of ms from 100 to 60000, found 500"},
    {"below_range", "threads = 3\n", 1, 11, "callers.threads",
     "expected a whole number from 4 to 4096, found 3"},
    {"above_range", "threads = 4097\n", 1, 11, "callers.threads",
     "expected a whole number from 4 to 4096, found 4097"},
    {"negative", "threads = -1\n", 1, 11, "callers.threads",
     "expected a whole number from 4 to 4096, found -1"},
    {"beyond_the_type", "threads = 4294967304\n", 1, 11, "callers.threads",
     "expected a whole number from 4 to 4096, found 4294967304"},
    {"list_for_number", "threads = [8]\n", 1, 11, "callers.threads",
     "expected a whole number from 4 to 4096, found a list"},
    {"flag_for_number", "threads = true\n", 1, 11, "callers.threads",
     "expected a whole number from 4 to 4096, found true"},
    {"date_for_number", "threads = 2026-12-03\n", 1, 11, "callers.threads",
     "expected a whole number from 4 to 4096, found a date or time"},
    {"number_for_text", "[log]\nlevel = 1\n", 2, 9, "log.level",
     "expected one of \"info\", \"warning\", \"error\", found 1"},
    {"no_such_choice", "[log]\nlevel = \"loud\"\n", 2, 9, "log.level",
     "expected one of \"info\", \"warning\", \"error\", found the text \"loud\""},
    {"table_for_value", "[log.level]\n", 1, 1, "log.level",
     "expected one of \"info\", \"warning\", \"error\", found a table"},
    {"list_for_table", "[[log]]\n", 1, 1, "log", "expected a table [log], found a list"},
};

INSTANTIATE_TEST_SUITE_P(load, bad_values, testing::ValuesIn(bad_value_cases),
                         [](const auto& it) { return std::string(it.param.name); });

struct bad_file {
    const char* name;
    const char* text;
    std::vector<problem> problems;
};

std::ostream& operator<<(std::ostream& out, const bad_file& it) {
    return out << it.name;
}

class bad_files : public testing::TestWithParam<bad_file> {};

TEST_P(bad_files, give_all_problems_in_file_order) {
    const bad_file& it = GetParam();
    const auto result = load<schema::entry_settings>({it.text, file, {}});
    EXPECT_EQ(result.problems, it.problems) << to_string(result.problems);
}

constexpr const char* name_expected = "missing; expected a name of 1 to 64 lower-case letters, "
                                      "digits, '-' and '_'";
constexpr const char* endpoint_expected =
    "missing; expected an IPv4 address and port such as \"10.1.2.3:8080\"";

const bad_file bad_file_cases[] = {
    {"empty",
     "",
     {{file, 1, 1, "node.name", name_expected},
      {file, 1, 1, "node.failure_domain", name_expected},
      {file, 1, 1, "node.region", name_expected},
      {file, 1, 1, "callers.listen", endpoint_expected},
      {file, 1, 1, "peers.listen", endpoint_expected},
      {file, 1, 1, "platform.url",
       "missing; expected a URL with an IPv4 address and port such as \"http://10.1.2.3:8080\""}}},
    {"syntax_error",
     "[node]\nname = \n",
     {{file, 2, 8, "",
       "not valid TOML: Error while parsing key-value pair: expected value, saw '\\n'"}}},
    {"many_at_once",
     R"([platform]
url = "https://platform.example"
[callers]
threads = 1
port = 80
listen = "10.0.0.1"
[node]
name = "Entry 1"
region = "sk-central"
[peers]
listen = "10.0.0.1:99999"
)",
     {{file, 2, 7, "platform.url",
       "expected a URL with an IPv4 address and port such as \"http://10.1.2.3:8080\", found the "
       "text \"https://platform.example\""},
      {file, 4, 11, "callers.threads", "expected a whole number from 4 to 4096, found 1"},
      {file, 5, 1, "callers.port",
       "unknown key; known here: listen, threads, max_body_bytes, max_task_body_bytes, "
       "read_timeout_ms, max_wait_ms"},
      {file, 6, 10, "callers.listen",
       "expected an IPv4 address and port such as \"10.1.2.3:8080\", found the text \"10.0.0.1\""},
      {file, 7, 1, "node.failure_domain", name_expected},
      {file, 8, 8, "node.name",
       "expected a name of 1 to 64 lower-case letters, digits, '-' and '_', found the text "
       "\"Entry 1\""},
      {file, 11, 10, "peers.listen",
       "expected an IPv4 address and port such as \"10.1.2.3:8080\", found the text "
       "\"10.0.0.1:99999\""}}},
};

INSTANTIATE_TEST_SUITE_P(load, bad_files, testing::ValuesIn(bad_file_cases),
                         [](const auto& it) { return std::string(it.param.name); });

struct assignment_case {
    const char* name;
    std::vector<std::string> assignments;
    std::string problems; // as printed; empty when the assignments are valid
    std::uint32_t threads;
    std::string node;
};

std::ostream& operator<<(std::ostream& out, const assignment_case& it) {
    return out << it.name;
}

class assignments : public testing::TestWithParam<assignment_case> {};

TEST_P(assignments, override_the_file_and_are_checked) {
    const assignment_case& it = GetParam();
    const auto result = load<schema::entry_settings>(
        {std::string(minimal_settings) + "threads = 16\n", file, it.assignments});
    EXPECT_EQ(to_string(result.problems), it.problems);
    EXPECT_EQ(result.value.callers().threads(), it.threads);
    EXPECT_EQ(result.value.node().name(), it.node);
}

const assignment_case assignment_cases[] = {
    {"none", {}, "", 16, "entry-1"},
    {"number", {"callers.threads=8"}, "", 8, "entry-1"},
    {"last_one_wins", {"callers.threads=8", "callers.threads=9"}, "", 9, "entry-1"},
    {"text_without_quotes", {"node.name=entry-7"}, "", 16, "entry-7"},
    {"text_with_quotes", {"node.name=\"entry-7\""}, "", 16, "entry-7"},
    {"table_that_the_file_lacks", {"log.level=error"}, "", 16, "entry-1"},
    {"out_of_range",
     {"callers.threads=1"},
     "--set callers.threads=1: callers.threads: expected a whole number from 4 to 4096, "
     "found 1\n",
     256,
     "entry-1"},
    {"unknown",
     {"node.colour=red"},
     "--set node.colour=red: node.colour: unknown key; known here: name, failure_domain, region\n",
     16,
     "entry-1"},
    {"not_toml",
     {"callers.threads=many"},
     "--set callers.threads=many: not valid TOML: Error while parsing value: could not determine "
     "value type\n",
     0,
     ""},
    {"no_value",
     {"callers.threads"},
     "--set callers.threads: expected KEY=VALUE, such as callers.threads=8\n",
     0,
     ""},
};

INSTANTIATE_TEST_SUITE_P(load, assignments, testing::ValuesIn(assignment_cases),
                         [](const auto& it) { return std::string(it.param.name); });

TEST(load, reports_missing_keys_in_the_file_not_in_an_assignment) {
    const auto result = load<schema::entry_settings>({"", file, {"callers.threads=8"}});
    EXPECT_EQ(result.problems[3].to_string(),
              std::string("entry.toml:1:1: callers.listen: ") + endpoint_expected);
}

TEST(load_file, names_a_file_that_cannot_be_read) {
    const auto result = load_file<schema::entry_settings>("/nowhere/entry.toml");
    EXPECT_EQ(to_string(result.problems),
              "/nowhere/entry.toml: cannot be read: No such file or directory\n");
    EXPECT_FALSE(read_file("/"));
}

TEST(load_file, reads_a_whole_file) {
    const std::string path = testing::TempDir() + "savory_load_test.toml";
    std::ofstream(path) << minimal_settings << std::string(200000, '#') << "\n";
    const auto result = load_file<schema::entry_settings>(path, {"log.level=warning"});
    EXPECT_EQ(to_string(result.problems), "");
    EXPECT_EQ(result.value.log().level(), "warning");
}

} // namespace
} // namespace savorytrail::settings
