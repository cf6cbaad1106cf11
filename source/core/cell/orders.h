// Orders to executors, and the interface of the transport that sends them. Replies are delivered
// through the on_...() functions of executor_manager, at any later time and in any order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/work/executor.h"

namespace savorytrail::cell {

struct start_order {
    work::run_key run;
    std::string payload;
    std::int64_t until_ms = 0; // end of the lease, on the executor's clock
    std::int64_t fence = 0;
    // Unix milliseconds of the start of the executor's process that it is for, and no other process
    // may get it; 0 if that is not known.
    std::int64_t process = 0;
    bool is_repeat = false; // a previous copy was not answered; use a new connection

    bool operator==(const start_order&) const = default;
};

struct stop_order {
    work::run_key run;
    std::int64_t fence = 0;

    bool operator==(const stop_order&) const = default;
};

struct report_request {
    std::uint64_t number = 0; // returned with the report
    std::int64_t fence = 0;
    std::int64_t acknowledged = 0;        // ended runs up to this sequence number may be discarded
    std::optional<std::int64_t> until_ms; // renews the leases of all runs there until this time
    common::milliseconds wait{0};         // long-poll time: how long to wait for a run to end

    bool operator==(const report_request&) const = default;
};

class order_sink {
public:
    virtual ~order_sink() = default;
    virtual void start(const work::executor_info& at, const start_order& order) = 0;
    virtual void stop(const work::executor_info& at, const stop_order& order) = 0;
    virtual void ask_report(const work::executor_info& at, const report_request& request) = 0;
    // Nothing will be sent to this address any more; its connections can be closed.
    virtual void forget(const work::executor_info& at) = 0;

protected:
    order_sink() = default;
    order_sink(const order_sink&) = default;
    order_sink& operator=(const order_sink&) = default;
};

} // namespace savorytrail::cell
