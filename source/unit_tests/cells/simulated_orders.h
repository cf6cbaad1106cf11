// Sends an entry's orders to the simulated executors, with the time-outs of the real transport and
// the faults of the way between the two.
#pragma once

#include <functional>

#include "core/cell/executor_manager.h"
#include "stand_ins/users_platform/simulated_executor.h"

namespace savorytrail::cells {

class simulated_entry;
class simulated_fleet;

// Faults between one entry and one executor; shares in thousandths.
struct order_faults {
    bool cuts_requests = false;
    bool cuts_answers = false;
    int lost_requests = 0;
    int lost_answers = 0;
    int late_requests = 0; // left unanswered and carried out 0.2 to 8 s later
    int lost_stops = 0;    // stop orders alone

    bool operator==(const order_faults&) const = default;
};

class simulated_orders final : public cell::order_sink {
public:
    simulated_orders(simulated_fleet& fleet, simulated_entry& owner)
        : m_fleet(fleet), m_owner(owner) {}

    void attach(cell::executor_manager& manager) { m_manager = &manager; }

    void start(const work::executor_info& at, const cell::start_order& order) override;
    void stop(const work::executor_info& at, const cell::stop_order& order) override;
    void ask_report(const work::executor_info& at, const cell::report_request& request) override;
    void forget(const work::executor_info&) override {}

private:
    using answer = std::function<void()>;
    using failure_handler = std::function<void(work::order_status)>;
    // Carries out an order and returns what its answer does on arrival.
    using execution = std::function<answer(cell::simulated_executor&)>;

    // `time`: how long the executor takes for it.
    void send(const work::executor_info& to, bool is_stop, common::milliseconds time,
              const execution& execute, const failure_handler& on_failure);
    void answer_report(int executor, const std::shared_ptr<bool>& is_answered, std::uint64_t number,
                       bool is_lost);

    void fail_report(int executor, const std::shared_ptr<bool>& is_answered, std::uint64_t number,
                     work::order_status failure);

    simulated_fleet& m_fleet;
    simulated_entry& m_owner;
    cell::executor_manager* m_manager = nullptr;
};

} // namespace savorytrail::cells
