// How a run ended, as its dispatcher learns it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/work/executor.h"

namespace savorytrail::cell {

enum class run_result {
    done,
    failed,
    lost,    // not running any more, may be started again; see loss_cause
    refused, // never started
};

// Why a run was lost.
enum class loss_cause : std::uint8_t {
    none,               // it was not
    executor_crashed,   // the executor's process ended while the run may have been there
    executor_restarted, // another process answers in place of the one that had the run
    lease_expired,      // the executor was silent until the lease had certainly ended
    vanished,           // a report does not list it any more
    ended_by_executor,  // stopped, lapsed or broken, as the executor reports
};

std::string_view to_string(loss_cause it);

struct run_outcome {
    run_result result = run_result::lost;
    work::order_status status = work::order_status::accepted; // of a refused start
    loss_cause loss = loss_cause::none;

    bool operator==(const run_outcome&) const = default;
};

// A run that may have been on an executor when its process ended.
struct crashed_run {
    work::run_key run;
    common::milliseconds age{0}; // since its start order was sent
    bool was_isolated = false;   // nothing else was started there beside it

    bool operator==(const crashed_run&) const = default;
};

struct executor_crash {
    std::string executor;
    std::int64_t start_time_ms = 0; // identifies the process; 0 if it is not known
    std::vector<crashed_run> runs;

    bool operator==(const executor_crash&) const = default;
};

// For the log: the process, and each run with its age.
std::string describe(const executor_crash& it);

} // namespace savorytrail::cell
