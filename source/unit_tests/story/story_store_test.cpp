// Tests of the limits and the JSON form of stories.
#include "core/story/story_store.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "core/story/story_json.h"

namespace savorytrail::story {
namespace {

submission::submission_id make_id(std::uint32_t sequence) {
    submission::submission_id id;
    id.sequence = sequence;
    return id;
}

TEST(story_store, returns_events_in_order_with_wall_times) {
    common::manual_clock clock;
    story_store it(clock, std::chrono::milliseconds(5000), {});
    it.add(make_id(1), "opened", "2 tasks");
    clock.advance(common::milliseconds(30));
    it.add_final(make_id(1), "answered", "complete");
    const story expected{{{std::chrono::milliseconds(5000), "opened", "2 tasks"},
                          {std::chrono::milliseconds(5030), "answered", "complete"}},
                         0};
    EXPECT_EQ(it.find(make_id(1)), expected);
    EXPECT_EQ(it.find(make_id(2)), std::nullopt);
}

TEST(story_store, counts_the_events_it_drops_and_keeps_the_final_answer) {
    const common::manual_clock clock;
    story_store it(clock, std::chrono::milliseconds(0), {100, 2});
    for (int i = 0; i < 5; i++)
        it.add(make_id(1), "task_sent", "");
    it.add_final(make_id(1), "answered", "");
    const auto result = it.find(make_id(1));
    ASSERT_TRUE(result);
    EXPECT_EQ(result->dropped, 3U);
    ASSERT_EQ(result->events.size(), 3U);
    EXPECT_EQ(result->events.back().name, "answered");
}

TEST(story_store, evicts_the_oldest_submissions_first) {
    constexpr std::uint32_t submissions = 1000;
    constexpr std::uint32_t limit = 80;
    const common::manual_clock clock;
    story_store it(clock, std::chrono::milliseconds(0), {limit, 2});
    for (std::uint32_t i = 0; i < submissions; i++)
        it.add(make_id(i), "opened", "");
    for (std::uint32_t i = 0; i < submissions; i++)
        EXPECT_EQ(it.find(make_id(i)).has_value(), i >= submissions - limit) << i;
}

TEST(story_store, truncates_long_details) {
    const common::manual_clock clock;
    story_store it(clock, std::chrono::milliseconds(0), {});
    it.add(make_id(1), "opened", std::string(100000, 'x'));
    EXPECT_LE(it.find(make_id(1))->events[0].detail.size(), 200U);
}

TEST(story_json, has_the_fields_that_explain_reads) {
    const story value{{{std::chrono::milliseconds(7), "opened", "\xff"}}, 3};
    const auto body = nlohmann::json::parse(to_json(value, "i", "vm-1"));
    EXPECT_EQ(body["id"], "i");
    EXPECT_EQ(body["home"], "vm-1");
    EXPECT_EQ(body["dropped"], 3);
    EXPECT_EQ(body["events"][0]["at_ms"], 7);
    EXPECT_EQ(body["events"][0]["event"], "opened");
    EXPECT_EQ(body["events"][0]["detail"], "\xEF\xBF\xBD");
}

} // namespace
} // namespace savorytrail::story
