// Tests with real entries, against the platform emulator, of when a new configuration is in force
// while connections to the store fail.
#include <gtest/gtest.h>

#include <thread>

#include "integration_tests/platform_fleet.h"
#include "integration_tests/store_outages.h"

namespace savorytrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int executors = 4;
// The users' bound.
constexpr milliseconds configuration_bound{2000};

class configurations : public fleet_before_outage {
protected:
    configurations() : fleet_before_outage(executors) {}

    int ask(int entry, const std::string& prefix) const {
        return m_fleet.ask(entry, prefix, std::chrono::seconds(3));
    }
};

// Guards against an added route that is refused with 404 later than the bound, as nobody who could
// reach the store asked it.
TEST_P(configurations, are_in_force_in_time) {
    GetParam().begin(m_fleet);
    m_fleet.platform().configure(4, {"/added/"});
    std::this_thread::sleep_until(steady_clock::now() + GetParam().bound);
    for (const int entry : GetParam().bound_entries) {
        EXPECT_EQ(ask(entry, "/added/"), 200) << "entry " << entry;
    }
    // Those without a way to the store and the others must not say that there is no such route.
    for (int i = 0; i < m_fleet.size(); i++) {
        EXPECT_NE(ask(i, "/added/"), 404) << "entry " << i;
        EXPECT_EQ(ask(i, "/q/"), 200) << "entry " << i;
    }
}

INSTANTIATE_TEST_SUITE_P(platform, configurations,
                         testing::ValuesIn(store_outages(configuration_bound)),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail
