// Tests of reading the configuration row.
#include "core/configuration/record.h"

#include <gtest/gtest.h>

#include "unit_tests/platform/fake_platform.h"

namespace savorytrail::configuration {
namespace {

using common::error;

const std::string valid_text = R"(teams = [{name = "desk"}]
[[upstreams]]
name = "booking"
executors = [{name = "a", failure_domain = "zilina", address = "10.0.0.1:80"}]
)";

std::string row_value(const std::string& text) {
    return write_record({{0, "id", "pipeline", "2026-12-03T22:00:00Z"}, text, {}}).value();
}

struct row_case {
    const char* name;
    std::string value;
    std::optional<error> failure;
};

std::ostream& operator<<(std::ostream& out, const row_case& it) {
    return out << it.name;
}

class rows : public testing::TestWithParam<row_case> {};

TEST_P(rows, are_read_or_rejected) {
    platform::fake_table table;
    ASSERT_TRUE(table.commit({{manifest_key, platform::absent_row, GetParam().value}}));
    const auto result = read_newer(table, 0);
    ASSERT_EQ(result.has_value(), !GetParam().failure.has_value());
    if (GetParam().failure) {
        EXPECT_EQ(result.error(), *GetParam().failure);
        return;
    }
    const auto expected = manifest::parse(valid_text);
    EXPECT_EQ(result.value(), (manifest::versioned_manifest{1, valid_text, expected.value()}));
    EXPECT_EQ(read_newer(table, 1).value(), std::nullopt);
}

const row_case row_cases[] = {
    {"valid", row_value(valid_text), std::nullopt},
    {"invalid_manifest", row_value("teams = 1"), error::malformed},
    {"not_json", "{", error::malformed},
    {"without_text", R"({"change_id":"a","author":"b","applied_at":"c"})", error::malformed},
    {"text_of_wrong_type", R"({"change_id":"a","author":"b","applied_at":"c","text":1})",
     error::malformed},
    {"earlier_of_wrong_type",
     R"({"change_id":"a","author":"b","applied_at":"c","text":"","earlier":[1]})",
     error::malformed},
};

INSTANTIATE_TEST_SUITE_P(record, rows, testing::ValuesIn(row_cases),
                         [](const auto& it) { return std::string(it.param.name); });

TEST(record, is_absent_before_the_first_apply) {
    platform::fake_table table;
    EXPECT_EQ(read_newer(table, 0).error(), error::not_found);
}

} // namespace
} // namespace savorytrail::configuration
