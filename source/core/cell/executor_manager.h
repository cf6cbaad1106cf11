// Holds executors: the only holder of each, by a fence that grows with every claim. It starts and
// stops runs, learns their ends by reports that the executors hold back until there is news, renews
// their leases, and says of each run how it ended, once, and only when it surely runs no more. That
// is what a dispatcher needs so as never to run a task twice at once:
//  - before the first start on an executor, all runs that others left there have ended;
//  - a start without an answer is repeated as it is, or stopped, or outwaited on a lower bound of
//  the
//    executor's clock;
//  - after the VM stood still, nothing is started before the executor has answered anew;
//  - a lease is renewed only while the executor answers, and never for runs of others.
// Used on one thread.
#pragma once

#include <functional>
#include <memory>

#include "absl/container/flat_hash_map.h"
#include "core/cell/executor_record.h"
#include "core/cell/orders.h"
#include "core/common/error.h"

namespace savorytrail::cell {

enum class run_result {
    done,
    failed,
    lost,    // stopped, expired or vanished; it does not run and may be started anew
    refused, // never started
};

// Told by the desk of what happened to runs. `why` is for logs.
class run_listener {
public:
    virtual ~run_listener() = default;
    virtual void on_run_ended(const work::run_key& run, const std::string& executor,
                              run_result result, work::order_status status) = 0;
    // The VM stood still: whoever waited for jobs may be gone.
    virtual void on_suspended() = 0;
    // A run, not over yet for the listener, ended well after that long.
    virtual void on_run_duration(const work::run_key& run, common::milliseconds took) = 0;
    // Executors may have room again.
    virtual void on_resources_freed() = 0;

protected:
    run_listener() = default;
    run_listener(const run_listener&) = default;
    run_listener& operator=(const run_listener&) = default;
};

class executor_observer {
public:
    virtual ~executor_observer() = default;
    virtual void executor_changed(const std::string& executor, std::string_view event,
                                  std::string_view reason) = 0;

protected:
    executor_observer() = default;
    executor_observer(const executor_observer&) = default;
    executor_observer& operator=(const executor_observer&) = default;
};

// A fence above all that this entry has used, and likely above those of other holders.
using fence_source = std::function<std::int64_t()>;

class executor_manager {
public:
    executor_manager(limits by, const common::clock& clock, order_sink& orders, fence_source fences,
                     executor_observer& observer);
    executor_manager(const executor_manager&) = delete;
    executor_manager& operator=(const executor_manager&) = delete;

    void set_listener(run_listener* listener) { m_listener = listener; }

    // The executors that this entry is to hold from now on; `adopted` are those of them that it
    // takes for left by their holders. Others are let go when their runs end.
    void assign(const std::vector<work::executor_info>& executors,
                const std::set<std::string>& adopted = {});
    // All executors that another entry must not claim yet.
    std::vector<std::string> held() const;

    bool start(const std::string& executor, const work::run_key& run, work::resources occupied,
               common::milliseconds time_limit, const std::string& payload);
    void stop(const std::string& executor, const work::run_key& run);
    void note_failure(const std::string& executor, bool is_first);

    void on_start_reply(const std::string& executor, const work::run_key& run,
                        const work::order_reply& reply);
    void on_stop_reply(const std::string& executor, const work::run_key& run,
                       const work::order_reply& reply);
    void on_report(const std::string& executor, std::uint64_t number, work::order_status status,
                   const work::run_report& report);

    // To be called about every 50 ms.
    void tick();

    const std::map<std::string, std::unique_ptr<executor_record>>& executors() const {
        return m_executors;
    }

private:
    using record_map = std::map<std::string, std::unique_ptr<executor_record>>;

    executor_record* find(const std::string& executor);
    void claim(executor_record& it);
    void lose_claim(executor_record& it, std::string_view reason);
    void reclaim_if_due(executor_record& it);
    void request_report(executor_record& it, common::milliseconds wait);
    void request_next_report(executor_record& it);
    void renew_if_due(executor_record& it);
    void send_stop(executor_record& it, const work::run_key& key, run_record& run);
    void resend_start(executor_record& it, const work::run_key& key, run_record& run);
    void finish_run(executor_record& it, const work::run_key& key, run_result result,
                    work::order_status status = work::order_status::accepted);
    void finish_all_runs(executor_record& it, run_result result);
    void apply_report(executor_record& it, const pending_report& request,
                      const work::run_report& report);
    void apply_ended_runs(executor_record& it, const work::run_report& report);
    void apply_running_runs(executor_record& it, const pending_report& request,
                            const work::run_report& report);
    void on_report_failure(executor_record& it, work::order_status status);
    void check_executor(executor_record& it);
    void check_runs(executor_record& it);
    bool was_suspended() const;
    void on_wake_up();
    std::int64_t next_lease_end(const executor_record& it) const;

    const limits m_limits;
    const common::clock& m_clock;
    order_sink& m_orders;
    const fence_source m_fences;
    executor_observer& m_observer;
    run_listener* m_listener = nullptr;
    record_map m_executors;
    std::uint64_t m_next_report = 1;
    common::milliseconds m_suspended; // of the clock, when last looked at
    common::time_point m_last_tick;
};

} // namespace savorytrail::cell
