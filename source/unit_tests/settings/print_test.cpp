// Tests that printed TOML loads to the same values and explains each key.
#include "core/settings/print.h"

#include <google/protobuf/util/message_differencer.h>
#include <gtest/gtest.h>

#include "core/settings/load.h"
#include "core/settings/text.h"
#include "manifest.pb.h"
#include "settings.pb.h"

namespace savorytrail::settings {
namespace {

using google::protobuf::util::MessageDifferencer;

template <class Message>
void expect_loads_back(const Message& value) {
    const auto again = load<Message>({print(value), "printed", {}});
    EXPECT_EQ(to_string(again.problems), "") << print(value);
    EXPECT_TRUE(MessageDifferencer::Equals(again.value, value)) << print(value);
}

TEST(print, settings_load_back) {
    const auto settings = load<schema::entry_settings>(
        {"",
         "",
         {"node.name=entry-1", "node.failure_domain=zilina", "node.region=sk-central",
          "callers.listen=10.1.0.1:8080", "peers.listen=10.1.0.1:9000",
          "platform.url=http://10.0.0.1:7000", "callers.threads=8"}});
    ASSERT_EQ(to_string(settings.problems), "");
    expect_loads_back(settings.value);
}

TEST(print, manifest_loads_back) {
    const auto manifest = load<schema::manifest>({R"(
teams = [{name = "desk", max_tasks_per_second = 50}, {name = "phone"}]
objectives.response_share = 0.12345678901234567
[[upstreams]]
name = "booking"
executors = [{name = "a", vm = "rack \"7\"\t\\\u0001ž", failure_domain = "z", address = "10.0.0.1:80"}]
[[upstreams]]
name = "payment"
executors = [{name = "b", failure_domain = "z", address = "10.0.0.2:80", slots = 2}]
)",
                                                  "m.toml",
                                                  {}});
    ASSERT_EQ(to_string(manifest.problems), "");
    expect_loads_back(manifest.value);
}

TEST(print, says_unit_range_and_default) {
    const std::string text = print(schema::entry_settings());
    EXPECT_NE(
        text.find(
            "# Longest time for the header of a request to arrive, for its body, and for an answer "
            "to be taken.\n# Expected: a whole number of ms "
            "from 100 to 60000. Default: 5000.\nread_timeout_ms = 0\n"),
        std::string::npos)
        << text;
}

struct decimal_case {
    double value;
    const char* text;
};

class decimals : public testing::TestWithParam<decimal_case> {};

TEST_P(decimals, have_no_exponent) {
    EXPECT_EQ(decimal(GetParam().value), GetParam().text);
}

INSTANTIATE_TEST_SUITE_P(print, decimals,
                         testing::Values(decimal_case{0, "0"}, decimal_case{1000000, "1000000"},
                                         decimal_case{4294967295, "4294967295"},
                                         decimal_case{0.99999, "0.99999"},
                                         decimal_case{1e-7, "0.0000001"}));

} // namespace
} // namespace savorytrail::settings
