// Tests of the parser for the text format.
#include "core/telemetry/scrape.h"

#include <gtest/gtest.h>

namespace savorytrail::telemetry {
namespace {

TEST(scrape, reads_types_labels_and_escapes) {
    const auto result = parse_scrape("# HELP a Help.\n# TYPE a counter\n"
                                     "a{x=\"1\",y=\"q\\\"\\\\\\n\"} 2.5 1700000000000\nb +Inf\n");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->types.at("a"), "counter");
    ASSERT_EQ(result->samples.size(), 2U);
    EXPECT_EQ(result->samples[0], (sample{"a", {{"x", "1"}, {"y", "q\"\\\n"}}, 2.5}));
    EXPECT_GT(result->samples[1].value, 1e300);
}

class unreadable_scrape : public testing::TestWithParam<const char*> {};

TEST_P(unreadable_scrape, is_rejected) {
    EXPECT_EQ(parse_scrape(GetParam()), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(table, unreadable_scrape,
                         testing::Values("a", "a x", "a{", "a{x=1} 1", "a{x=\"1\" 1", "a{x=\"1\\",
                                         "a{x=\"1\",x=\"2\"} 1", "1a 1", "a 1x", "<html>",
                                         "# TYPE a counter\n# TYPE a gauge\n"));

} // namespace
} // namespace savorytrail::telemetry
