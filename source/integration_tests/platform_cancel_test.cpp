// Directed tests of a DELETE of a running job, with real entries: it is carried out wherever the
// job is, and an acknowledged one starts no further step.
#include <gtest/gtest.h>
#include <thread>

#include "integration_tests/platform_fleet.h"

namespace savorytrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int task_ms = 2500;
constexpr milliseconds start_time{400}; // until the job's tasks run
// The job's first entry may have to let the lease of a run expire.
constexpr milliseconds max_time_to_stop{1500};

struct delete_case {
    const char* name;
    int holder; // the entry that has the caller
    int asked;
};

class a_delete : public testing::TestWithParam<delete_case> {
protected:
    void SetUp() override {
        for (int i = 0; i < m_fleet.size(); i++) {
            ASSERT_TRUE(m_fleet.wait_until_serving(i)) << i;
        }
    }

    void TearDown() override {
        if (HasFailure()) {
            m_fleet.save_logs("platform_cancel");
        }
    }

    // Whether nothing runs any more, within the time that a stop may take.
    bool wait_until_stopped() {
        const auto end = steady_clock::now() + max_time_to_stop;
        while (m_fleet.platform().running() > 0 && steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(10));
        }
        return m_fleet.platform().running() == 0;
    }

    platform_fleet m_fleet{{.entries = 3}};
};

// Guards against a DELETE that is answered with 410 while the job runs on, and against a cancelled
// job that runs when its caller, who was not told, sends it again.
TEST_P(a_delete, ends_a_running_job_for_good) {
    const auto id = platform_fleet::new_id();
    const auto payload = "27000 " + std::to_string(task_ms);
    const platform_fleet::caller_patience patience{milliseconds(8000), milliseconds(9000)};
    int status = 0;
    milliseconds took{0};
    std::thread caller([&] {
        const auto start = steady_clock::now();
        status = m_fleet.submit(GetParam().holder, payload, 2, task_ms, id, patience);
        took = std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
    });
    std::this_thread::sleep_for(start_time);
    EXPECT_TRUE(m_fleet.platform().has_started(id));
    EXPECT_EQ(m_fleet.cancel(GetParam().asked, id), 200);
    EXPECT_TRUE(wait_until_stopped());
    caller.join();
    EXPECT_EQ(status, 200);
    EXPECT_LT(took, milliseconds(task_ms));
    EXPECT_EQ(m_fleet.cancel(GetParam().asked, id), 410);
    for (int i = 0; i < m_fleet.size(); i++) {
        EXPECT_EQ(m_fleet.submit(i, payload, 2, task_ms, id, patience), 200);
        EXPECT_EQ(m_fleet.platform().running(), 0U);
    }
}

// Nobody may be told that a job was cancelled which no entry has.
TEST_P(a_delete, of_an_unknown_job_is_answered_with_410) {
    EXPECT_EQ(m_fleet.cancel(GetParam().asked, platform_fleet::new_id()), 410);
}

INSTANTIATE_TEST_SUITE_P(entries, a_delete,
                         testing::Values(delete_case{"at_the_callers_entry", 1, 1},
                                         delete_case{"at_another_entry", 1, 2},
                                         delete_case{"at_the_first_entry", 2, 0}),
                         [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace savorytrail
