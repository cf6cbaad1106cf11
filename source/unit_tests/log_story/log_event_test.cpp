// Tests of parsing complete and truncated log lines.
#include "core/log_story/log_event.h"

#include <gtest/gtest.h>

#include <sstream>

namespace savorytrail::log_story {
namespace {

struct line_case {
    const char* name;
    std::string line;
    std::optional<log_event> expected;
};

std::ostream& operator<<(std::ostream& out, const line_case& it) {
    return out << it.name;
}

constexpr std::int64_t second_us = 1'000'000;
// 2026-09-13 23:53:58 UTC as Unix time.
constexpr std::int64_t timestamp_us = 1'789'343'638 * second_us;

const std::vector<line_case> lines = {
    {"plain",
     "I20260913 23:53:58.085685 20561 log.cpp:34] event=entry_seen node=f1 domain=a entry=f2",
     log_event{timestamp_us + 85685, "f1", "entry_seen", {{"entry", "f2"}}}},
    {"with_a_collector_prefix",
     "  18.9154 front-1 W20260913 23:53:58.000001 1 log.cpp:37] event=entry_lost node=f1 entry=f2",
     log_event{timestamp_us + 1, "f1", "entry_lost", {{"entry", "f2"}}}},
    {"quoted", R"(E20260913 23:53:58.000000 1 log.cpp:40] event=x node=f1 why="a \"b\" = c" n=3)",
     log_event{timestamp_us, "f1", "x", {{"why", "a \"b\" = c"}, {"n", "3"}}}},
    {"truncated_within_quotes",
     R"(I20260913 23:53:58.000000 1 log.cpp:40] event=x node=f1 why="a b)",
     log_event{timestamp_us, "f1", "x", {{"why", "a b"}}}},
    {"truncated_within_a_key", "I20260913 23:53:58.000000 1 log.cpp:40] event=x node=f1 wh",
     log_event{timestamp_us, "f1", "x", {}}},
    {"without_a_timestamp", "event=x node=f1", std::nullopt},
    {"with_an_invalid_date", "I20261344 23:53:58.000000 1 log.cpp:40] event=x node=f1",
     std::nullopt},
    {"without_a_node", "I20260913 23:53:58.000000 1 log.cpp:40] event=x", std::nullopt},
    {"of_another_program", "GET / 200 12ms", std::nullopt},
    {"empty", "", std::nullopt},
};

class log_lines : public testing::TestWithParam<line_case> {};

TEST_P(log_lines, are_parsed) {
    EXPECT_EQ(parse_log_line(GetParam().line), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(all, log_lines, testing::ValuesIn(lines),
                         [](const auto& it) { return it.param.name; });

TEST(read_log, skips_other_lines) {
    std::istringstream in("noise\n" + lines[0].line + "\n\n" + lines[1].line);
    EXPECT_EQ(read_log(in).size(), 2U);
}

} // namespace
} // namespace savorytrail::log_story
