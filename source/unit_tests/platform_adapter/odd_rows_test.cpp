// Tests of rows and reports that another writer left in an unexpected form: they cost neither the
// process nor what else was read, and put no impossible number into use.
#include <gtest/gtest.h>

#include "core/fleet/executor_list.h"
#include "platform/executor_codec.h"
#include "platform/rows_codec.h"

namespace savorytrail::platform_adapter {
namespace {

// As deep as a row of the platform's store can be.
std::string nested(char open, char close) {
    constexpr std::size_t depth = 30000;
    std::string text(depth, open);
    if (open == '{') {
        text.clear();
        for (std::size_t i = 0; i < depth / 4; i++) {
            text += R"({"a":)";
        }
        return text + "1" + std::string(depth / 4, close);
    }
    return text + std::string(depth, close);
}

std::string executor_with(const std::string& field, const std::string& value) {
    std::string fields;
    const std::pair<const char*, const char*> defaults[] = {
        {"service", R"("u")"},
        {"zone", R"("z")"},
        {"address", R"("10.0.0.9:80")"},
        {"state", R"("ready")"},
        {"capacity", R"({"cpu":16000,"memMb":32768,"gpu":0})"},
        {"labels", R"(["a"])"},
        {"born", "12"}};
    for (const auto& [name, text] : defaults) {
        fields += (fields.empty() ? "{\"" : ",\"") + std::string(name) +
                  "\":" + (field == name ? value : text);
    }
    return fields + "}";
}

struct odd_field {
    const char* name; // of the test
    const char* field;
    std::string value;

    friend std::ostream& operator<<(std::ostream& out, const odd_field& it) {
        return out << it.name;
    }
};

class odd_executors : public testing::TestWithParam<odd_field> {};

// Guards against a process that ends, or takes a number for another, by one odd row.
TEST_P(odd_executors, are_not_used) {
    EXPECT_FALSE(decode_executor("i", executor_with(GetParam().field, GetParam().value)));
}

INSTANTIATE_TEST_SUITE_P(
    rows, odd_executors,
    testing::Values(
        odd_field{"nested_labels", "labels", nested('[', ']')},
        odd_field{"nested_label", "labels", "[" + nested('{', '}') + "]"},
        odd_field{"nested_capacity", "capacity", nested('[', ']')},
        odd_field{"nested_cpu", "capacity", R"({"memMb":1,"cpu":)" + nested('[', ']') + "}"},
        odd_field{"nested_service", "service", nested('[', ']')},
        odd_field{"nested_born", "born", nested('[', ']')},
        odd_field{"cpu_beyond_every_integer", "capacity", R"({"cpu":1e300,"memMb":1})"},
        odd_field{"cpu_beyond_64_bits_signed", "capacity",
                  R"({"cpu":9223372036854775808,"memMb":1})"},
        odd_field{"cpu_that_overflows_a_sum", "capacity",
                  R"({"cpu":9223372036854775807,"memMb":1})"},
        odd_field{"cpu_negative", "capacity", R"({"cpu":-16000,"memMb":1})"},
        odd_field{"cpu_with_a_fraction", "capacity", R"({"cpu":0.5,"memMb":1})"},
        odd_field{"memory_negative", "capacity", R"({"cpu":16000,"memMb":-1})"},
        odd_field{"accelerators_beyond_every_integer", "capacity",
                  R"({"cpu":16000,"memMb":1,"gpu":1e300})"},
        odd_field{"capacity_a_list", "capacity", "[16000,1]"},
        odd_field{"born_beyond_every_integer", "born", "1e300"},
        odd_field{"born_beyond_64_bits_signed", "born", "18446744073709551615"},
        odd_field{"born_negative", "born", "-1"},
        odd_field{"number_beyond_every_type", "born", "1e400"},
        odd_field{"port_out_of_range", "address", R"("10.0.0.9:65536")"},
        odd_field{"port_zero", "address", R"("10.0.0.9:0")"},
        odd_field{"port_negative", "address", R"("10.0.0.9:-1")"},
        odd_field{"port_beyond_every_type", "address", R"("10.0.0.9:99999999999999999999")"}),
    [](const auto& it) { return it.param.name; });

// Guards against an executor that is not used, as its writer puts whole numbers in another way.
TEST(executors, with_whole_numbers_written_as_fractions_are_used) {
    const auto it = decode_executor("i", executor_with("capacity", R"({"cpu":16e3,"memMb":1.0})"));
    ASSERT_TRUE(it);
    EXPECT_EQ(it->capacity, (work::resources{16000, 1, 0}));
}

// Guards against a nested value of an entry's row that ends the process while it is copied.
TEST(odd_entries, are_not_used_or_read_without_what_is_odd) {
    const std::string identity = R"({"name":"n","domain":"d","host":"10.0.0.1",)";
    EXPECT_FALSE(decode_entry(identity + R"("patience_ms":)" + nested('[', ']') + "}"));
    EXPECT_FALSE(decode_entry(identity + R"("patience_ms":{"q":)" + nested('{', '}') + "}}"));
    EXPECT_FALSE(decode_entry(identity + R"("patience_ms":{"q":1e300}})"));
    const auto it = decode_entry(identity + R"("kind_speeds":)" + nested('[', ']') + "}");
    ASSERT_TRUE(it);
    EXPECT_EQ(it->identity.name, "n");
}

// Guards against a whole page, or the version that the feed goes on from, that is lost by one row.
TEST(odd_rows, cost_no_other_row_of_the_page) {
    const auto rows = decode_rows(
        R"({"ver":9,"rows":[{"key":"a","ver":5,"value":"e30="},{"key":7,"ver":6,"value":"e30="},)"
        R"({"key":"c","ver":1e300,"value":"e30="},{"key":"d","ver":-1,"value":"e30="},)"
        R"({"key":"e","ver":8,"value":)" +
        nested('[', ']') + R"(},{"key":"f","ver":9,"value":"?"},{"key":"g","ver":9}]})");
    ASSERT_TRUE(rows);
    EXPECT_EQ(rows->version, 9U);
    std::vector<std::string> keys;
    for (const auto& it : rows->rows) {
        keys.push_back(it.key);
    }
    EXPECT_EQ(keys, (std::vector<std::string>{"a", "c", "d", "e", "f", "g"}));
    EXPECT_EQ(rows->rows[0].version, 5U);
}

class odd_versions : public testing::TestWithParam<const char*> {};

// Guards against a feed that goes on from a version that the store never had.
TEST_P(odd_versions, make_the_answer_unreadable) {
    EXPECT_FALSE(decode_rows(std::string(R"({"rows":[],"ver":)") + GetParam() + "}"));
}

INSTANTIATE_TEST_SUITE_P(rows, odd_versions,
                         testing::Values("1e300", "-1", "0.5", R"("9")", "18446744073709551616"));

class odd_reports : public testing::TestWithParam<const char*> {};

// Guards against a clock, or a number of a run, that is no number of the executor.
TEST_P(odd_reports, are_unreadable) {
    EXPECT_FALSE(decode_report(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
    reports, odd_reports,
    testing::Values(R"({"clockMs":1e300,"running":[],"ended":[]})",
                    R"({"clockMs":-1,"running":[],"ended":[]})",
                    R"({"clockMs":18446744073709551615,"running":[],"ended":[]})",
                    R"({"clockMs":5,"born":1e300,"running":[],"ended":[]})",
                    R"({"clockMs":5,"running":[["j.0.0.0",1e300]],"ended":[]})",
                    R"({"clockMs":5,"running":[],"ended":[[1e300,"j.0.0.0",1,"done"]]})",
                    R"({"clockMs":5,"running":[],"ended":[[1,"j.0.0.0",-3,"done"]]})"));

} // namespace
} // namespace savorytrail::platform_adapter
