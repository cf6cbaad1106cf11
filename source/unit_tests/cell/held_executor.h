// Gives a cell an executor without simulating one.
#pragma once

#include "core/cell/executor_manager.h"

namespace savorytrail::cell {

// Lets the manager hold one idle executor, so that its dispatcher admits jobs.
inline void hold_an_executor(executor_manager& manager) {
    work::executor_info info;
    info.id = "e0";
    info.upstream = "u";
    info.capacity = {64000, 131072, 0};
    manager.tick(); // the first tick after a while is a late one
    manager.tick();
    manager.assign({info});
    work::run_report report;
    report.clock_ms = 1;
    report.start_time_ms = 1;
    manager.on_report(info.id, 1, work::order_status::accepted, report);
}

} // namespace savorytrail::cell
