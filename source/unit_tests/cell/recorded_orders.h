// Keeps the orders of an executor manager, for tests that answer them by themselves.
#pragma once

#include <vector>

#include "core/cell/orders.h"

namespace savorytrail::cell {

class recorded_orders final : public order_sink {
public:
    void start(const work::executor_info&, const start_order& it) override { starts.push_back(it); }
    void stop(const work::executor_info&, const stop_order&) override { stops++; }
    void ask_report(const work::executor_info&, const report_request& it) override {
        reports.push_back(it);
    }
    void forget(const work::executor_info&) override {}

    std::vector<start_order> starts;
    std::vector<report_request> reports;
    int stops = 0;
};

} // namespace savorytrail::cell
