// Tests that the current version never decreases, in whatever order versions are offered.
#include "core/configuration/holder.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <thread>

namespace savorytrail::configuration {
namespace {

manifest::versioned_manifest of_version(std::uint64_t version) {
    return {version, "text", {}};
}

TEST(holder, starts_without_a_configuration) {
    holder it;
    EXPECT_EQ(it.current(), nullptr);
    EXPECT_EQ(it.version(), 0U);
    EXPECT_FALSE(it.offer(of_version(0)));
}

TEST(holder, notifies_a_late_subscriber_of_the_current_version) {
    holder it;
    it.offer(of_version(3));
    std::vector<std::uint64_t> seen;
    it.subscribe([&](const holder::pointer& now) { seen.push_back(now->version); });
    it.offer(of_version(2));
    it.offer(of_version(4));
    EXPECT_EQ(seen, (std::vector<std::uint64_t>{3, 4}));
}

RC_GTEST_PROP(holder, keeps_the_highest_offer, (const std::vector<std::uint8_t>& offers)) {
    holder it;
    std::uint64_t highest = 0;
    for (const std::uint8_t version : offers) {
        RC_ASSERT(it.offer(of_version(version)) == (version > highest));
        highest = std::max<std::uint64_t>(highest, version);
        RC_ASSERT(it.version() == highest);
    }
}

TEST(holder, notifies_subscribers_in_order_of_version_under_concurrent_offers) {
    constexpr int offers = 500; // from each thread
    holder it;
    std::vector<std::uint64_t> seen; // written only within offer()
    it.subscribe([&](const holder::pointer& now) { seen.push_back(now->version); });
    std::vector<std::thread> threads;
    for (int start = 1; start <= 4; start++) {
        threads.emplace_back([&it, start] {
            for (int i = 0; i < offers; i++)
                it.offer(of_version(start + 4 * i));
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    EXPECT_TRUE(std::is_sorted(seen.begin(), seen.end()));
    EXPECT_EQ(seen.back(), 4U * offers);
    EXPECT_EQ(it.version(), 4U * offers);
}

} // namespace
} // namespace savorytrail::configuration
