// Tests of the choice of the reader.
#include "core/propagation/reader_choice.h"

#include <gtest/gtest.h>

namespace savorytrail::propagation {
namespace {

constexpr common::milliseconds poll{1000};

struct domain_state {
    const char* name;
    std::vector<bool> reachable; // whether each entry reaches the platform
    int readers;                 // entries that read once per poll
};

class reading : public testing::TestWithParam<domain_state> {
protected:
    std::vector<reader_candidate> candidates() const {
        std::vector<reader_candidate> values;
        for (const bool is_reachable : GetParam().reachable)
            values.push_back({"entry-" + std::to_string(values.size()), is_reachable});
        return values;
    }
};

TEST_P(reading, has_one_reader_and_bounded_reads) {
    int readers = 0;
    double reads = 0; // per poll
    for (const auto& self : candidates()) {
        const auto period = read_period("zilina", self.name, candidates(), poll);
        // An entry that does not reach the platform must notice when it is reachable again.
        EXPECT_TRUE(self.platform_reachable || period);
        if (!period)
            continue;
        readers += self.platform_reachable ? 1 : 0;
        reads += double(poll.count()) / double(period->count());
    }
    EXPECT_EQ(readers, GetParam().readers);
    EXPECT_GT(reads, 0);
    EXPECT_LE(reads, 2);
}

INSTANTIATE_TEST_SUITE_P(
    table, reading,
    testing::Values(domain_state{"alone", {true}, 1}, domain_state{"alone_unreachable", {false}, 0},
                    domain_state{"all_reachable", {true, true, true, true, true, true, true}, 1},
                    domain_state{"some_reachable", {false, true, false, true, false}, 1},
                    domain_state{"none_reachable", {false, false, false, false, false}, 0}),
    [](const auto& param) { return param.param.name; });

TEST(reader, is_spread_over_entries) {
    const std::vector<reader_candidate> entries{{"a"}, {"b"}, {"c"}};
    int n = 0;
    for (int i = 0; i < 100; i++)
        n += read_period("domain-" + std::to_string(i), "a", entries, poll) ? 1 : 0;
    EXPECT_GT(n, 15);
    EXPECT_LT(n, 55);
}

} // namespace
} // namespace savorytrail::propagation
