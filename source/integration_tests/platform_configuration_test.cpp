// Tests with real entries, against the platform emulator, of when a new configuration is in force
// while connections to the store fail.
#include <gtest/gtest.h>

#include <functional>
#include <thread>

#include "integration_tests/platform_fleet.h"

namespace savorytrail {
namespace {

using stand_ins::proxy_mode;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// What happens to the entries just before a configuration is acknowledged.
struct outage {
    std::string name;
    std::function<void(platform_links&)> begin;
    // Entries that are to act by the configuration when the bound has passed.
    std::vector<int> bound_entries;
    // From the acknowledgement.
    milliseconds bound;

    friend std::ostream& operator<<(std::ostream& out, const outage& it) { return out << it.name; }
};

constexpr int entries = 4;
// The users' bound, and how long an entry may be affected by the reset of its connections.
constexpr milliseconds configuration_bound{2000};
constexpr milliseconds contact_time{3000};

// Entries 0 and 1 read the store for the others.
void cut_readers(platform_links& links, proxy_mode mode) {
    links.set_store_fault(0, {mode});
    links.set_store_fault(1, {mode});
}

class configurations : public testing::TestWithParam<outage> {
protected:
    int ask(int entry, const std::string& prefix) const {
        return m_fleet.ask(entry, prefix, std::chrono::seconds(3));
    }

    void SetUp() override {
        for (int i = 0; i < m_fleet.size(); i++) {
            ASSERT_TRUE(m_fleet.wait_until_serving(i));
        }
        // Until the entries have settled on who reads the store.
        std::this_thread::sleep_for(milliseconds(4500));
    }

    platform_fleet m_fleet{
        {.entries = entries, .executors = 4, .domains = {"a"}, .with_links = true}};
};

// Guards against an added route that is refused with 404 later than the bound, as nobody who could
// reach the store asked it.
TEST_P(configurations, are_in_force_in_time) {
    GetParam().begin(m_fleet.links());
    m_fleet.platform().configure(3, {"/added/"});
    std::this_thread::sleep_until(steady_clock::now() + GetParam().bound);
    for (const int entry : GetParam().bound_entries) {
        EXPECT_EQ(ask(entry, "/added/"), 200) << "entry " << entry;
    }
    // Those without a way to the store and the others must not say that there is no such route.
    for (int i = 0; i < entries; i++) {
        EXPECT_NE(ask(i, "/added/"), 404) << "entry " << i;
        EXPECT_EQ(ask(i, "/q/"), 200) << "entry " << i;
    }
}

INSTANTIATE_TEST_SUITE_P(
    platform, configurations,
    testing::Values(outage{"readers_cut_from_the_store",
                           [](auto& links) { cut_readers(links, proxy_mode::drop); },
                           {0, 1, 2, 3},
                           configuration_bound},
                    outage{"readers_refused_by_the_store",
                           [](auto& links) { cut_readers(links, proxy_mode::cut); },
                           {0, 1, 2, 3},
                           configuration_bound},
                    outage{"answers_to_readers_lost",
                           [](auto& links) { cut_readers(links, proxy_mode::half_open); },
                           {0, 1, 2, 3},
                           configuration_bound},
                    outage{"open_connections_to_the_store_go_silent",
                           [](auto& links) {
                               for (int i = 0; i < entries; i++) {
                                   links.set_store_fault(i, {proxy_mode::drop_old});
                               }
                           },
                           {0, 1, 2, 3},
                           contact_time},
                    outage{"an_entry_cut_from_all",
                           [](auto& links) {
                               links.set_entry_fault(3, {proxy_mode::drop});
                               links.set_store_fault(3, {proxy_mode::drop});
                           },
                           {0, 1, 2},
                           contact_time}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail
