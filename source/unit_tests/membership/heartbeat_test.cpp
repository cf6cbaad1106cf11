// Tests of the encoding and the size of heartbeats.
#include "core/membership/heartbeat.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace savorytrail::membership {
namespace {

heartbeat sample() {
    heartbeat it;
    it.vm = submission::vm_number("entry-kiruna-a-3");
    it.incarnation = {~0ULL, ~0ULL};
    it.sequence = 1'000'000; // eleven days at one heartbeat per second
    it.configuration_version = 200'000;
    it.list_revision = 200'000;
    it.platform_reachable = false;
    return it;
}

heartbeat sample_with_lists() {
    auto it = sample();
    it.state = entry_state::stopping;
    for (std::uint32_t i = 0; i < 20; i++)
        it.idle.push_back({0xf0000000U + i, 100 + i});
    for (std::uint32_t i = 0; i < 160; i++)
        it.demand.push_back({0xf0000000U + i, 2000 + i, 300 + i});
    return it;
}

TEST(heartbeat, survives_encoding_and_decoding) {
    const auto full = sample_with_lists();
    heartbeat_composer composer;
    for (int i = 0; i < 100; i++) {
        const auto it = composer.next(full);
        EXPECT_EQ(decode(encode(it)), it);
    }
}

TEST(heartbeat, every_element_is_sent_within_the_size_limit) {
    const auto full = sample_with_lists();
    heartbeat_composer composer;
    std::set<std::uint32_t> upstreams;
    std::set<std::uint32_t> teams;
    for (int i = 0; i < 600; i++) {
        const auto it = composer.next(full);
        EXPECT_LE(encode(it).size(), max_heartbeat_bytes);
        for (const auto& element : it.idle)
            upstreams.insert(element.upstream);
        for (const auto& element : it.demand)
            teams.insert(element.team);
    }
    EXPECT_EQ(upstreams.size(), full.idle.size());
    EXPECT_EQ(teams.size(), full.demand.size());
}

struct bad_datagram {
    const char* name;
    std::string text;
};

class malformed : public testing::TestWithParam<bad_datagram> {};

TEST_P(malformed, is_rejected) {
    EXPECT_EQ(decode(GetParam().text), std::nullopt);
}

std::string changed(void (*change)(heartbeat&)) {
    auto it = sample();
    change(it);
    return encode(it);
}

INSTANTIATE_TEST_SUITE_P(
    table, malformed,
    testing::Values(bad_datagram{"empty", ""}, bad_datagram{"text", "GET / HTTP/1.1\r\n\r\n"},
                    bad_datagram{"truncated", encode(sample()).substr(0, 20)},
                    bad_datagram{"other_first_field", "\x15" + encode(sample()).substr(1)},
                    bad_datagram{"other_magic", "\x0d\x02" + encode(sample()).substr(2)},
                    bad_datagram{"without_sequence", changed([](auto& it) { it.sequence = 0; })},
                    bad_datagram{"unknown_state",
                                 changed([](auto& it) { it.state = entry_state(9); })},
                    bad_datagram{"too_long", encode(sample_with_lists())}),
    [](const auto& param) { return param.param.name; });

RC_GTEST_PROP(heartbeat_property, any_bytes_are_refused_or_read_without_harm,
              (const std::string& bytes, std::size_t cut, std::size_t at, char value)) {
    decode(bytes);
    auto text = encode(sample());
    text[at % text.size()] = value;
    decode(text.substr(0, cut % (text.size() + 1)));
}

// Datagrams contain hashes of names, which must not collide within a plausible fleet.
TEST(name_number, differs_between_names) {
    std::set<std::uint32_t> numbers;
    for (int i = 0; i < 2000; i++)
        numbers.insert(name_number("team-" + std::to_string(i)));
    EXPECT_EQ(numbers.size(), 2000U);
}

} // namespace
} // namespace savorytrail::membership
