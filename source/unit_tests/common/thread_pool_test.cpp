// Tests of the dynamically sized thread pool.
#include "core/common/thread_pool.h"

#include <gtest/gtest.h>

#include <atomic>
#include <latch>

namespace savorytrail::common {
namespace {

TEST(thread_pool, grows_until_all_blocked_work_runs_at_once) {
    constexpr int tasks = 8;
    thread_pool pool(tasks);
    std::latch all_running(tasks);
    std::atomic<int> done{0};
    for (int i = 0; i < tasks; i++) {
        pool.run([&] {
            all_running.arrive_and_wait();
            done++;
        });
    }
    pool.shut_down();
    EXPECT_EQ(done.load(), tasks);
}

TEST(thread_pool, finishes_queued_work_before_shut_down_returns) {
    thread_pool pool(2);
    std::atomic<int> done{0};
    for (int i = 0; i < 100; i++)
        pool.run([&] { done++; });
    pool.shut_down();
    EXPECT_EQ(done.load(), 100);
}

} // namespace
} // namespace savorytrail::common
