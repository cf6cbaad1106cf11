// Tests with a real entry, against the platform emulator, of executors that start again under their
// id as another kind of machine, of which the entry learns in various ways, or not at first.
#include <atomic>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <thread>

#include "integration_tests/platform_fleet.h"

namespace savorytrail {
namespace {

using stand_ins::proxy_mode;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr int restarted = 0; // the executor
constexpr int task_ms = 60;

struct restart_case {
    std::string name;
    bool is_idle = false;   // no task has run for some time before
    bool is_silent = false; // open connections show nothing, while new ones reach the new process
    milliseconds down_time{0};

    friend std::ostream& operator<<(std::ostream& out, const restart_case& it) {
        return out << it.name;
    }
};

class restarted_executors : public testing::TestWithParam<restart_case> {
protected:
    void SetUp() override { ASSERT_TRUE(m_fleet.wait_until_serving(0)); }

    // Callers send jobs that require the label until `end`; returns how many were served.
    int serve_until(steady_clock::time_point end, const std::string& label) const {
        constexpr int callers = 4;
        std::atomic<int> served = 0;
        std::vector<std::jthread> threads;
        threads.reserve(callers);
        for (int i = 0; i < callers; i++) {
            threads.emplace_back([&] {
                while (steady_clock::now() < end) {
                    served += m_fleet.submit_on(0, label, task_ms) == 200 ? 1 : 0;
                }
            });
        }
        threads.clear();
        return served;
    }

    int serve_for(milliseconds time, const std::string& label) const {
        return serve_until(steady_clock::now() + time, label);
    }

    void restart_as(const std::string& kind) {
        if (GetParam().is_silent) {
            m_fleet.links().set_executor_fault(restarted, {proxy_mode::drop_old});
        }
        m_fleet.platform().restart_executor(restarted, kind, GetParam().down_time);
    }

    platform_fleet m_fleet{{.entries = 1,
                            .executors = 4,
                            .domains = {"a"},
                            .executor_kinds = {"large", "small"},
                            .with_links = true}};
};

// Guards against tasks that require the former kind and are started on the new process, while the
// list still tells of the former one.
TEST_P(restarted_executors, get_no_task_by_their_former_labels) {
    auto& platform = m_fleet.platform();
    ASSERT_GT(serve_for(milliseconds(1500), "large"), 0);
    EXPECT_GT(platform.starts_on(restarted), 0U);
    if (GetParam().is_idle) {
        std::this_thread::sleep_for(milliseconds(1000)); // less than the report that it waits for
    }
    platform.set_store_down(true); // the list is not read before its bound ends
    std::jthread restart([&] {
        std::this_thread::sleep_for(GetParam().is_idle ? milliseconds(0) : milliseconds(300));
        restart_as("small");
    });
    if (GetParam().is_idle) {
        restart.join();
    }
    serve_for(milliseconds(1200), "large");
    EXPECT_THAT(platform.starts_without_label(), testing::IsEmpty());
    platform.set_store_down(false);
    std::this_thread::sleep_for(seconds(2));
    const auto before = platform.starts_on(restarted);
    EXPECT_GT(serve_for(milliseconds(1500), "small"), 0);
    EXPECT_GT(platform.starts_on(restarted), before);
    EXPECT_THAT(platform.starts_without_label(), testing::IsEmpty());
    if (HasFailure()) {
        m_fleet.save_logs("restart-" + GetParam().name);
    }
}

INSTANTIATE_TEST_SUITE_P(
    platform, restarted_executors,
    testing::Values(restart_case{"at_work_and_seen", false, false, milliseconds(300)},
                    restart_case{"at_work_and_back_at_once", false, false, milliseconds(0)},
                    restart_case{"at_work_and_silent", false, true, milliseconds(0)},
                    restart_case{"idle_and_back_at_once", true, false, milliseconds(0)},
                    restart_case{"idle_and_silent", true, true, milliseconds(0)},
                    restart_case{"idle_silent_and_down", true, true, milliseconds(300)}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail
