// Order in which slots are acquired, and their maximum number.
#include "stand_ins/executor/slot_queue.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace savorytrail::stand_ins {
namespace {

TEST(slot_queue, serves_in_order_of_arrival) {
    constexpr int waiters = 8;
    slot_queue slots(1);
    std::mutex mutex;
    std::vector<int> order;
    slots.acquire();
    std::vector<std::thread> threads;
    for (int i = 0; i < waiters; i++) {
        threads.emplace_back([&, i] {
            slots.acquire();
            {
                const std::lock_guard lock(mutex);
                order.push_back(i);
            }
            slots.release();
        });
        while (slots.most_waiting() != static_cast<std::uint64_t>(i) + 1)
            std::this_thread::yield();
    }
    slots.release();
    for (auto& it : threads)
        it.join();
    EXPECT_EQ(order, (std::vector<int>{0, 1, 2, 3, 4, 5, 6, 7}));
    EXPECT_EQ(slots.most_running(), 1U);
}

TEST(slot_queue, runs_as_many_as_there_are_slots) {
    slot_queue slots(3);
    for (int i = 0; i < 3; i++)
        slots.acquire();
    EXPECT_EQ(slots.most_running(), 3U);
    EXPECT_EQ(slots.most_waiting(), 0U);
    slots.release();
    slots.acquire();
    EXPECT_EQ(slots.most_running(), 3U);
}

} // namespace
} // namespace savorytrail::stand_ins
