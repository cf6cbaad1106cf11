// Tests with real entries, against the platform emulator, of failure domains that are drained and
// taken back, and of executors that are cold after a start.
#include <csignal>
#include <functional>
#include <gtest/gtest.h>
#include <thread>

#include "integration_tests/platform_fleet.h"

namespace savorytrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What happens while domain "b" is drained.
struct drain_case {
    std::string name;
    std::function<void(platform_fleet&)> disturb;

    friend std::ostream& operator<<(std::ostream& out, const drain_case& it) {
        return out << it.name;
    }
};

class two_domains : public testing::Test {
public:
    ~two_domains() override = default;

protected:
    // Entry 0 and two executors in one failure domain, entry 1 and two executors in the other.
    platform_fleet m_fleet{{.domains = {"a", "b"}}};
};

class drains : public two_domains, public testing::WithParamInterface<drain_case> {
protected:
    // The platform allows 5 s from the row to the last start.
    static constexpr milliseconds s_bound{5000};

    // Whether the entry's metrics tell an operator that domain "b" is empty.
    bool shows_an_empty_domain(int entry) const {
        const auto text = m_fleet.metrics(entry);
        return text.find("\nsavory_drained_domains 1\n") != std::string::npos &&
               text.find("\nsavory_drained_runs 0\n") != std::string::npos;
    }

    // Sends jobs to both entries until `end`; returns how many were served, and expects all to be.
    int serve_until(std::chrono::steady_clock::time_point end) {
        int served = 0;
        while (std::chrono::steady_clock::now() < end) {
            EXPECT_EQ(m_fleet.submit(0, "27000 100", 2, 100), 200);
            EXPECT_EQ(m_fleet.submit(1, "27000 100", 2, 100), 200);
            served += 2;
        }
        return served;
    }
};

TEST_P(drains, keep_tasks_away_until_they_end) {
    auto& platform = m_fleet.platform();
    ASSERT_TRUE(m_fleet.wait_until_serving(0));
    ASSERT_TRUE(m_fleet.wait_until_serving(1));
    platform.drain("malformed", "{");
    platform.drain("b");
    const auto bound = std::chrono::steady_clock::now() + s_bound;
    GetParam().disturb(m_fleet);
    std::this_thread::sleep_until(bound);
    const auto before = platform.starts_in("b");
    EXPECT_GT(serve_until(bound + seconds(2)), 0);
    EXPECT_EQ(platform.starts_in("b"), before);
    EXPECT_EQ(platform.running_in("b"), 0U);
    EXPECT_TRUE(shows_an_empty_domain(0));
    EXPECT_TRUE(shows_an_empty_domain(1));
    platform.set_store_down(false);
    platform.end_drain("b");
    const auto end = std::chrono::steady_clock::now() + seconds(6);
    while (platform.starts_in("b") == before && std::chrono::steady_clock::now() < end) {
        EXPECT_EQ(m_fleet.submit(1, "27000 100", 4, 100), 200);
    }
    EXPECT_GT(platform.starts_in("b"), before);
    EXPECT_EQ(platform.duplicate_runs(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    failures, drains,
    testing::Values(drain_case{"none", [](platform_fleet&) {}},
                    drain_case{"its entry restarts",
                               [](platform_fleet& fleet) {
                                   std::this_thread::sleep_for(milliseconds(500));
                                   fleet.entry(1).kill();
                                   fleet.start(1);
                                   ASSERT_TRUE(fleet.wait_until_serving(1));
                               }},
                    drain_case{"its entry restarts while the store is down",
                               [](platform_fleet& fleet) {
                                   std::this_thread::sleep_for(milliseconds(1000));
                                   fleet.platform().set_store_down(true);
                                   fleet.entry(1).kill();
                                   fleet.start(1);
                                   ASSERT_TRUE(fleet.wait_until_serving(1));
                               }},
                    drain_case{"its entry is gone and its executors are adopted",
                               [](platform_fleet& fleet) {
                                   fleet.entry(1).kill();
                                   std::this_thread::sleep_for(seconds(4));
                                   fleet.start(1);
                                   ASSERT_TRUE(fleet.wait_until_serving(1));
                               }},
                    drain_case{"its entry is paused",
                               [](platform_fleet& fleet) {
                                   fleet.entry(1).send_signal(SIGSTOP);
                                   std::this_thread::sleep_for(seconds(3));
                                   fleet.entry(1).send_signal(SIGCONT);
                               }},
                    drain_case{"the row is withdrawn and written again", [](platform_fleet& fleet) {
                                   for (int i = 0; i < 5; i++) {
                                       std::this_thread::sleep_for(milliseconds(30));
                                       fleet.platform().end_drain("b");
                                       std::this_thread::sleep_for(milliseconds(30));
                                       fleet.platform().drain("b");
                                   }
                               }}));

TEST_F(two_domains, refuse_jobs_at_once_when_all_are_drained) {
    ASSERT_TRUE(m_fleet.wait_until_serving(0));
    m_fleet.platform().drain("a");
    m_fleet.platform().drain("b");
    std::this_thread::sleep_for(seconds(3));
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(m_fleet.submit(0, "27000 100", 1, 100), 429);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(300));
}

// With all executors cold, a cell without a warm one must serve jobs all the same.
TEST_F(two_domains, serve_jobs_on_cold_executors) {
    ASSERT_TRUE(m_fleet.wait_until_serving(0));
    for (int i = 0; i < 4; i++) {
        m_fleet.platform().set_cold(i, seconds(30));
    }
    std::this_thread::sleep_for(seconds(2));
    EXPECT_EQ(m_fleet.submit(0, "27000 300", 2, 300), 200);
}

} // namespace
} // namespace savorytrail
