// Executors as listed in the registry, and their decoded run reports and order replies.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/common/endpoint.h"
#include "core/work/resources.h"

namespace savorytrail::work {

// An executor as listed. The id survives a restart of the executor; `start_time_ms` changes.
struct executor_info {
    std::string id;
    common::endpoint address;
    std::string failure_domain;
    std::string upstream;
    resources capacity;
    std::vector<std::string> labels; // its kind and its rack
    bool is_draining = false;        // takes no new work
    std::int64_t start_time_ms = 0;  // Unix milliseconds of its start
    // How long it remains slow after its start, in whole seconds when it was listed; 0: not slow.
    // Rounded up, so that the listed executors do not change with every heartbeat of a slow one.
    common::milliseconds cold_left{0};

    bool operator==(const executor_info&) const = default;

    bool has_label(const std::string& label) const;
};

struct task_id {
    std::string job;
    int occurrence = 0; // of a repeating job
    int step = 0;
    int index = 0; // within the step

    auto operator<=>(const task_id&) const = default;

    template <typename H>
    friend H AbslHashValue(H h, const task_id& it) {
        return H::combine(std::move(h), it.job, it.occurrence, it.step, it.index);
    }
};

// One start of one task. A later start of the same task has a higher number.
struct run_key {
    task_id task;
    std::int64_t number = 1;

    auto operator<=>(const run_key&) const = default;

    template <typename H>
    friend H AbslHashValue(H h, const run_key& it) {
        return H::combine(std::move(h), it.task, it.number);
    }
};

enum class run_end { done, failed, stopped, lapsed, broken };

struct ended_run {
    std::int64_t sequence = 0; // increases until the executor restarts
    run_key run;
    run_end kind = run_end::done;

    bool operator==(const ended_run&) const = default;
};

// An executor's answer to a report request.
struct run_report {
    std::int64_t clock_ms = 0;      // the executor's steady clock
    std::int64_t start_time_ms = 0; // 0 when not reported
    std::vector<run_key> running;
    std::vector<ended_run> ended; // ends not acknowledged yet, in order

    bool operator==(const run_report&) const = default;
};

// How an executor answered an order. Only `accepted` started or stopped anything.
enum class order_status {
    accepted,
    fenced,                 // the executor has seen a higher fence
    outdated,               // a run of that number or a higher one has ended or was stopped there
    lease_expired,          // the lease in the order had expired on arrival
    insufficient_resources, // the free resources do not cover the task
    malformed,
    wrong_executor, // another executor answers at the address
    other_process,  // another process of the executor answers; the order was not sent to it
    unhealthy,
    no_answer,          // unknown: the order may still be carried out
    connection_lost,    // likewise: the connection ended before the answer
    not_sent,           // the order certainly did not reach the executor
    connection_refused, // likewise: no process listens at the executor's address
};

struct order_reply {
    order_status status = order_status::no_answer;
    std::optional<std::int64_t> clock_ms;

    bool operator==(const order_reply&) const = default;
};

} // namespace savorytrail::work
