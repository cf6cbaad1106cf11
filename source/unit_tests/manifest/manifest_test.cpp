// Tests of the conversion of a manifest to values, and of parsing arbitrary text.
#include "core/manifest/manifest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorytrail::manifest {
namespace {

constexpr const char* sample = R"(
teams = [{name = "desk", max_tasks_per_second = 200}, {name = "phone"}]
[[upstreams]]
name = "booking"
task_timeout_ms = 4000
not_accepted_status = 429
  [[upstreams.executors]]
  name = "b-1"
  failure_domain = "zilina"
  address = "10.0.0.1:80"
  [[upstreams.executors]]
  name = "b-2"
  failure_domain = "martin"
  vm = "worker-7"
  address = "10.0.0.2:80"
  slots = 16
  connections = 30
)";

TEST(parse, converts_every_value) {
    const manifest expected{
        .teams = {{"desk", 200}, {"phone", 0}},
        .upstreams = {{.name = "booking",
                       .task_timeout = common::milliseconds(4000),
                       .not_accepted_status = 429,
                       .executors = {{"b-1", "zilina", "b-1", {"10.0.0.1", 80}, 8, 60},
                                     {"b-2", "martin", "worker-7", {"10.0.0.2", 80}, 16, 30}}}},
        .objectives = {1.5, 0.99, 0.999}};
    const auto result = parse(sample);
    ASSERT_TRUE(result) << settings::to_string(result.error());
    EXPECT_EQ(result.value(), expected);
    EXPECT_EQ(result.value().find_team("phone"), &result.value().teams[1]);
    EXPECT_EQ(result.value().find_upstream("booking"), &result.value().upstreams[0]);
    EXPECT_EQ(result.value().find_upstream("desk"), nullptr);
}

TEST(parse, reports_problems_with_the_file_name) {
    const auto result = parse("teams = [{}]\n", "brana.toml");
    ASSERT_FALSE(result);
    EXPECT_EQ(settings::to_string(result.error()),
              "brana.toml:1:10: teams[0].name: missing; expected a name of 1 to 64 lower-case "
              "letters, digits, '-' and '_'\n");
}

// Manifests with parts replaced by TOML fragments or arbitrary bytes.
rc::Gen<std::string> damaged_manifests() {
    const auto replacement_text = rc::gen::oneOf(
        rc::gen::arbitrary<std::string>(),
        rc::gen::element<std::string>("[[upstreams]]", "[[", "]]", "{", "}", "\"", "= ", "\n", ".",
                                      "name = 1", "1e999", "-0", "nan", "\xff\xfe", "[a.b.c]"));
    const auto edit = rc::gen::tuple(rc::gen::inRange<std::size_t>(0, std::string(sample).size()),
                                     rc::gen::inRange<std::size_t>(0, 20), replacement_text);
    return rc::gen::map(
        rc::gen::container<std::vector<std::tuple<std::size_t, std::size_t, std::string>>>(edit),
        [](const auto& edits) {
            std::string text = sample;
            for (const auto& [at, length, replacement] : edits)
                text.replace(std::min(at, text.size()), length, replacement);
            return text;
        });
}

RC_GTEST_PROP(parse, gives_a_manifest_or_problems_for_any_text, ()) {
    const std::string text = *damaged_manifests();
    const auto result = parse(text);
    if (result) {
        RC_ASSERT(!result.value().upstreams.empty());
        return;
    }
    RC_ASSERT(!result.error().empty());
    for (const auto& it : result.error())
        RC_ASSERT(it.file == "manifest" && it.line >= 1 && !it.message.empty());
}

} // namespace
} // namespace savorytrail::manifest
