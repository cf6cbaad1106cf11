// Compare-and-swap transactions of the platform stand-in's table.
#include "stand_ins/platform/table.h"

#include <gtest/gtest.h>

namespace savorytrail::stand_ins {
namespace {

struct table_case {
    const char* name;
    std::vector<table_operation> operations; // applied to a table with rows a and b at version 1
    transaction_outcome outcome;
    std::vector<table_row> rows_after;
};

class table_test : public testing::TestWithParam<table_case> {};

TEST_P(table_test, applies_all_or_none) {
    table it;
    it.apply({{"a", 0, "A"}, {"b", 0, "B"}});
    EXPECT_EQ(it.apply(GetParam().operations), GetParam().outcome);
    EXPECT_EQ(it.list("", 10), GetParam().rows_after);
}

const table_row s_a{"a", 1, "A"};
const table_row s_b{"b", 1, "B"};

INSTANTIATE_TEST_SUITE_P(
    cases, table_test,
    testing::Values(table_case{"update", {{"a", 1, "A2"}}, {{2}, {}}, {{"a", 2, "A2"}, s_b}},
                    table_case{"create", {{"c", 0, "C"}}, {{1}, {}}, {s_a, s_b, {"c", 1, "C"}}},
                    table_case{"any_version",
                               {{"a", -1, "A2"}, {"c", -1, "C"}},
                               {{2, 1}, {}},
                               {{"a", 2, "A2"}, s_b, {"c", 1, "C"}}},
                    table_case{"delete", {{"a", 1, std::nullopt}}, {{0}, {}}, {s_b}},
                    table_case{
                        "stale_version", {{"b", 1, "B2"}, {"a", 7, "A2"}}, {{}, {s_a}}, {s_a, s_b}},
                    table_case{"exists_already", {{"a", 0, "A2"}}, {{}, {s_a}}, {s_a, s_b}},
                    table_case{"missing_row", {{"c", 1, "C"}}, {{}, {{"c", 0, ""}}}, {s_a, s_b}}),
    [](const auto& test) { return test.param.name; });

TEST(table, version_increases_across_a_deletion) {
    table it;
    it.apply({{"a", 0, "A"}});
    it.apply({{"a", 1, std::nullopt}});
    EXPECT_EQ(it.read("a"), std::nullopt);
    it.apply({{"a", 0, "again"}});
    EXPECT_EQ(it.read("a")->version, 3);
}

TEST(table, lists_a_prefix_up_to_the_limit) {
    table it;
    it.apply({{"x/1", 0, "1"}, {"x/2", 0, "2"}, {"x/3", 0, "3"}, {"y", 0, "4"}});
    EXPECT_EQ(it.list("x/", 2), (std::vector<table_row>{{"x/1", 1, "1"}, {"x/2", 1, "2"}}));
    EXPECT_EQ(it.list("x/", 9).size(), 3U);
}

} // namespace
} // namespace savorytrail::stand_ins
