// The executors that an entry holds, against a real executor's address on loopback.
#include "platform/executor_assigner.h"

#include <gtest/gtest.h>

#include "core/cell/dispatcher.h"
#include "core/reactor/http_server.h"
#include "unit_tests/cell/no_observer.h"

namespace savorytrail::platform_adapter {
namespace {

using common::milliseconds;

const common::endpoint executor_address{"127.91.7.2", 18082};
constexpr milliseconds tick_period{40};
constexpr milliseconds adoption_time{6000};

// An entry of domain "a". The only executor is of domain "b", which has no entries.
class adopting_entry : public testing::Test {
protected:
    adopting_entry()
        : m_client(m_loop), m_orders(m_client, {}),
          m_manager(
              {}, m_clock, m_orders, [this](cell::claim_attempt) { return ++m_fence; }, m_observer),
          m_dispatcher({}, m_clock, m_manager, m_observer),
          m_view({"entry", "a", "127.0.0.1", 1, 250}, 7000, {}, m_clock.now()),
          m_assigner(m_clock, m_view, m_manager, m_orders),
          m_executor(m_loop, {4096, 1000, 100}, [](const auto&, auto answer) {
              answer->send({200, {}, R"({"clockMs":1000,"running":[],"ended":[]})"});
          }) {
        m_orders.attach(m_manager);
        m_info.id = "x";
        m_info.address = executor_address;
        m_info.failure_domain = "b";
        m_info.upstream = "u";
        m_info.capacity = {64000, 131072, 0};
        EXPECT_TRUE(m_executor.listen(executor_address));
        m_view.note_entries_listed(m_clock.now());
        m_loop.every(tick_period, [this] {
            m_view.refresh(m_clock.now());
            m_assigner.tick([this] { m_assigner.note_entries_read(m_clock.now()); });
            m_manager.tick();
        });
    }

    void run_for(milliseconds time) {
        m_loop.after(time, [this] { m_loop.stop(); });
        m_loop.run();
    }

    const cell::executor_record* record() const {
        const auto it = m_manager.executors().find(m_info.id);
        return it == m_manager.executors().end() ? nullptr : it->second.get();
    }

    common::system_clock m_clock;
    reactor::loop m_loop;
    reactor::http_client m_client;
    cell::no_observer m_observer;
    std::int64_t m_fence = 0;
    executor_orders m_orders;
    cell::executor_manager m_manager;
    cell::dispatcher m_dispatcher;
    fleet::view m_view;
    executor_assigner m_assigner;
    reactor::http_server m_executor;
    work::executor_info m_info;
};

// Guards against starts that exceed the capacity of an adopted executor which has shrunk since.
TEST_F(adopting_entry, learns_the_new_capacity_of_an_adopted_executor) {
    m_assigner.set_registered({m_info});
    m_loop.after(adoption_time, [this] {
        ASSERT_NE(record(), nullptr);
        ASSERT_EQ(record()->state, cell::claim_state::held);
        m_info.capacity.cpu_millis = 16000;
        m_assigner.set_registered({m_info});
    });
    run_for(adoption_time + 4 * tick_period);
    ASSERT_NE(record(), nullptr);
    EXPECT_EQ(record()->info.capacity.cpu_millis, 16000);
}

} // namespace
} // namespace savorytrail::platform_adapter
