// Tests of start orders to an executor that closes its connections, or restarts, on loopback.
#include "platform/executor_orders.h"

#include <gtest/gtest.h>

#include "core/cell/dispatcher.h"
#include "core/reactor/http_server.h"
#include "platform/names.h"
#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/no_observer.h"

namespace savorytrail::platform_adapter {
namespace {

using common::milliseconds;

const common::endpoint executor_address{"127.91.7.23", 18093};
constexpr milliseconds tick_period{20};

// The process that answers is another one before the start, and nothing tells the entry.
enum class executor_kind { usual, closes_connections, restarts_unseen };

struct orders_case {
    const char* name;
    executor_kind kind;
    std::size_t starts;
};

// One executor, which reports that it has started anew, and counts the orders to start.
class start_orders : public testing::TestWithParam<orders_case> {
protected:
    start_orders()
        : m_client(m_loop), m_orders(m_client, {}),
          m_manager(
              {}, m_clock, m_orders, [this](cell::claim_attempt) { return ++m_fence; }, m_observer),
          m_dispatcher({}, m_clock, m_manager, m_observer),
          m_executor(m_loop, {4096, 4096, 100},
                     [this](const auto& request, const auto& answer) { serve(request, answer); }) {
        m_orders.attach(m_manager);
        EXPECT_TRUE(m_executor.listen(executor_address));
        if (GetParam().kind == executor_kind::closes_connections) {
            m_executor.close_after_responses();
        }
        work::executor_info info;
        info.id = "x";
        info.address = executor_address;
        info.upstream = "u";
        info.capacity = {64000, 131072, 0};
        info.start_time_ms = m_process;
        m_manager.assign({info});
        m_loop.every(tick_period, [this] {
            m_manager.tick();
            m_dispatcher.tick();
        });
    }

    void serve(const reactor::http_request& request,
               const std::shared_ptr<reactor::responder>& answer) {
        if (request.target == names::start_path) {
            m_starts++;
            answer->send({200, {}, R"({"clockMs":1000})"});
            return;
        }
        const bool waits = request.body.find("waitMs") != std::string::npos;
        if (waits) {
            m_waiting.push_back(answer); // until the test ends: no run ends there
            return;
        }
        answer->send({200,
                      {},
                      R"({"clockMs":1000,"running":[],"ended":[],"born":)" +
                          std::to_string(m_process) + "}"});
    }

    void run_for(milliseconds time) {
        m_loop.after(time, [this] { m_loop.stop(); });
        m_loop.run();
    }

    reactor::loop m_loop;
    common::system_clock m_clock;
    std::int64_t m_fence = 0;
    std::int64_t m_process = 1;
    std::size_t m_starts = 0;
    std::vector<std::shared_ptr<reactor::responder>> m_waiting;
    cell::no_observer m_observer;
    reactor::http_client m_client;
    executor_orders m_orders;
    cell::executor_manager m_manager;
    cell::dispatcher m_dispatcher;
    reactor::http_server m_executor;
};

// Guards against an order that reaches another process than its own, and against one that never
// goes out, as no connection is known to lead to its process.
TEST_P(start_orders, reach_their_process_or_none) {
    m_loop.after(milliseconds(100), [this] {
        m_process += GetParam().kind == executor_kind::restarts_unseen ? 1 : 0;
        // Two tasks need two connections beside that of the report.
        m_dispatcher.submit(cell::make_job("a", 2, milliseconds(400)), [](const auto&) {});
    });
    run_for(milliseconds(200));
    EXPECT_EQ(m_starts, GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(
    executors, start_orders,
    testing::Values(orders_case{"usual", executor_kind::usual, 2},
                    orders_case{"closes_connections", executor_kind::closes_connections, 2},
                    orders_case{"restarts_unseen", executor_kind::restarts_unseen, 0}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail::platform_adapter
