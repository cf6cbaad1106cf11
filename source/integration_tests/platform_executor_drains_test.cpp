// Tests with real entries, against the platform emulator, of executors that report that they drain
// while connections to the store fail.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "integration_tests/platform_fleet.h"
#include "integration_tests/store_outages.h"

namespace savorytrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int executors = 9;
// The users' bound.
constexpr milliseconds drain_bound{2000};

class executor_drains : public fleet_before_outage {
protected:
    executor_drains() : fleet_before_outage(executors) {}

    // Callers of all entries that have to act in time send jobs.
    void serve_until(steady_clock::time_point end) {
        constexpr int callers_per_entry = 3;
        std::vector<std::jthread> threads;
        for (const int entry : GetParam().bound_entries) {
            for (int i = 0; i < callers_per_entry; i++) {
                threads.emplace_back([this, entry, end] {
                    while (steady_clock::now() < end) {
                        m_served += m_fleet.submit(entry, "27000 60", 2, 60) == 200 ? 1 : 0;
                    }
                });
            }
        }
    }

    std::vector<std::uint64_t> starts(const std::vector<int>& on) {
        std::vector<std::uint64_t> list;
        list.reserve(on.size());
        for (const int i : on) {
            list.push_back(m_fleet.platform().starts_on(i));
        }
        return list;
    }

    std::atomic<int> m_served = 0;
};

// Guards against tasks that start on draining executors later than the bound, as the entry that
// holds them does not hear that they drain.
TEST_P(executor_drains, keep_tasks_away_in_time) {
    const std::vector<int> draining{0, 4, 8};
    serve_until(steady_clock::now() + milliseconds(1000));
    for (const auto n : starts(draining)) {
        EXPECT_GT(n, 0U);
    }
    GetParam().begin(m_fleet);
    for (const int i : draining) {
        m_fleet.platform().drain_executor(i);
    }
    serve_until(steady_clock::now() + GetParam().bound);
    const auto before = starts(draining);
    m_served = 0;
    serve_until(steady_clock::now() + milliseconds(2000));
    EXPECT_EQ(starts(draining), before);
    EXPECT_GT(m_served, 0);
    if (HasFailure()) {
        m_fleet.save_logs("executor-drains-" + GetParam().name);
    }
}

INSTANTIATE_TEST_SUITE_P(platform, executor_drains, testing::ValuesIn(store_outages(drain_bound)),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail
