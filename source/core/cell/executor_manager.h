// Claims executors and manages their runs. Each executor has a single holder, which is enforced by
// a fencing token that increases with every claim. The manager starts and stops runs, learns of
// their ends from long-polled reports, renews leases, and reports the end of each run exactly once,
// and only when it certainly no longer runs. So a dispatcher never has two runs of a task at once:
//  - before the first start on an executor, all runs of earlier holders there have ended;
//  - an unanswered start is resent unchanged, stopped, or waited out until its lease has ended by a
//    lower bound of the executor's clock;
//  - after a suspension of this VM, nothing is started on an executor until it has answered again;
//  - a lease is renewed only while the executor answers, and never for runs of other holders;
//  - a lease covers all runs on its executor, and none is granted for longer than every one of them
//    may go on: a run whose job has ended, or is not known to have a caller any more, ends even if
//    no stop order reaches its executor.
// Not thread-safe.
#pragma once

#include <functional>
#include <memory>

#include "absl/container/flat_hash_map.h"
#include "core/cell/executor_record.h"
#include "core/cell/executor_speed.h"
#include "core/cell/fence_sequence.h"
#include "core/cell/orders.h"
#include "core/cell/run_outcome.h"
#include "core/common/error.h"
#include "core/common/stall_detector.h"
#include "core/fleet/drained_domains.h"

namespace savorytrail::cell {

// Receives run events from an executor_manager.
class run_listener {
public:
    virtual ~run_listener() = default;
    virtual void on_run_ended(const work::run_key& run, const std::string& executor,
                              const run_outcome& outcome) = 0;
    // This VM was suspended or stalled: callers may have disconnected meanwhile.
    virtual void on_suspended() = 0;
    // A run succeeded after the given duration; called before on_run_ended().
    virtual void on_run_duration(const work::run_key& run, const work::executor_info& executor,
                                 common::milliseconds took) = 0;
    // An executor's process has ended, or seems to have; its runs end later, when that is certain.
    virtual void on_executor_crashed(const executor_crash& it) = 0;
    // The process that seemed to have ended answers again.
    virtual void on_crash_refuted(const std::string& executor, std::int64_t start_time_ms) = 0;
    // Executors may have free resources again.
    virtual void on_resources_freed() = 0;
    // Until when a run that was not told to stop may go on, as far as is known now.
    virtual common::time_point may_run_until(const work::run_key& run) const = 0;
    // The ids of retiring executors that jobs which have begun still need.
    virtual std::set<std::string> executors_for_begun_jobs() const = 0;

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

// A run to be started.
struct run_plan {
    work::resources occupied;
    std::string payload;
    common::milliseconds time_limit{0}; // a run that takes longer is considered stuck
    common::milliseconds expected{0};   // duration on that executor; 0 when unknown
    // For how long nothing else is started there; 0: not isolated. Requires an executor without
    // runs.
    common::milliseconds isolated_for{0};

    bool operator==(const run_plan&) const = default;
};

// Returns a fence higher than all that this entry has used, and likely higher than other holders'.
using fence_source = std::function<std::int64_t(claim_attempt)>;

class executor_manager {
public:
    executor_manager(limits by, const common::clock& clock, order_sink& orders, fence_source fences,
                     executor_observer& observer);
    executor_manager(const executor_manager&) = delete;
    executor_manager& operator=(const executor_manager&) = delete;

    void set_listener(run_listener* listener) { m_listener = listener; }
    // Nothing starts before it is known which failure domains are drained.
    void set_drains(const fleet::drained_domains& drains) { m_drains = &drains; }
    // To be called after each change of the drained domains.
    void on_drains_changed();
    // Whether any executor is in a drained domain.
    bool has_drained() const;
    // Runs on executors of drained domains.
    std::size_t drained_runs() const;

    // Sets the executors that this entry is to hold; `adopted` are those among them that their
    // holders are assumed to have abandoned. Other executors are released when their runs have
    // ended and no job that has begun needs them.
    void assign(const std::vector<work::executor_info>& executors,
                const std::set<std::string>& adopted = {});
    // The platform lists the executor no more: nothing is started there, also while it is kept.
    void note_unlisted(const std::string& executor);
    // The executors whose claim has succeeded; another entry must not claim them yet.
    std::vector<std::string> held() const;
    // False just after this process did not run: messages that wait are processed first.
    bool can_start_runs() const;
    // Changes whenever an executor is added, removed or changes its claim state.
    std::uint64_t claims_version() const { return m_claims_version; }
    // How long what this process learns now may have waited.
    common::milliseconds longest_wait() const { return m_stalls.longest_wait(); }

    // Returns whether the start order was sent.
    bool start(const std::string& executor, const work::run_key& run, const run_plan& plan);
    // Whether the run goes on at an executor that answers, and its isolation is over.
    bool has_outlasted_isolation(const std::string& executor, const work::run_key& run) const;
    // Stops the run; whether or not the order is carried out, it ends by `ends_by`, or by the end
    // of the lease that it has.
    void stop(const std::string& executor, const work::run_key& run, common::time_point ends_by);
    void note_failure(const std::string& executor, bool is_first);
    // A run took far longer than usual there, or as long as usual again.
    void note_pace(const std::string& executor, executor_speeds::change change);

    void on_start_reply(const std::string& executor, const work::run_key& run,
                        const work::order_reply& reply);
    void on_stop_reply(const std::string& executor, const work::run_key& run,
                       const work::order_reply& reply);
    void on_report(const std::string& executor, std::uint64_t number, work::order_status status,
                   const work::run_report& report);

    // Sends due requests and handles timeouts; call about every 50 ms.
    void tick();

    const executor_map& executors() const { return m_executors; }

private:
    using record_map = std::map<std::string, std::unique_ptr<executor_record>>;

    static constexpr std::string_view higher_fence = "another entry has a higher fence";

    executor_record* find(const std::string& executor);
    void apply_drains(executor_record& it) const;
    void set_state(executor_record& it, claim_state state);
    void claim(executor_record& it);
    void lose_claim(executor_record& it, std::string_view reason);
    void reclaim_if_due(executor_record& it);
    void on_claim_rejected(executor_record& it);
    void request_report(executor_record& it, common::milliseconds wait);
    void request_next_report(executor_record& it);
    // Requests a report beside one that may be lost, so that the ends of runs are learnt before it
    // counts as missing.
    void hedge_report_if_due(executor_record& it);
    void renew_if_due(executor_record& it);
    void send_stop(executor_record& it, const work::run_key& key, run_record& run);
    void note_unanswered_stop(const executor_record& it, const work::run_key& key, run_record& run);
    // Nothing starts there until it has answered a report: its process may be another one.
    void distrust(executor_record& it);
    void send_start(executor_record& it, const work::run_key& key, const run_record& run);
    bool may_resend_start(const executor_record& it, const run_record& run) const;
    void resend_start(executor_record& it, const work::run_key& key, run_record& run);
    void finish_run(executor_record& it, const work::run_key& key, const run_outcome& outcome);
    void finish_lost_run(executor_record& it, const work::run_key& key, loss_cause cause);
    void finish_all_runs(executor_record& it, loss_cause cause);
    // What a failed request tells of the executor's process.
    void note_contact(executor_record& it, work::order_status status);
    void note_crash(executor_record& it, common::time_point at);
    void note_crash_refuted(executor_record& it);
    void note_answer(executor_record& it);
    void apply_report(executor_record& it, const pending_report& request,
                      const work::run_report& report);
    void apply_ended_runs(executor_record& it, const work::run_report& report);
    void apply_running_runs(executor_record& it, const pending_report& request,
                            const work::run_report& report);
    void on_report_failure(executor_record& it, work::order_status status);
    void check_executor(executor_record& it);
    void check_runs(executor_record& it);
    void release_retiring();
    void release(const std::string& executor);
    // Returns whether it is kept a while longer.
    bool keep_for_begun_jobs(executor_record& it, bool is_needed);
    bool was_suspended() const;
    void on_wake_up();
    // The end of the lease that may be granted now, on the executor's clock.
    std::int64_t next_lease_end(const executor_record& it) const;
    common::time_point all_may_run_until(const executor_record& it) const;
    // To be called with each order that carries the end of a lease.
    void note_grant(executor_record& it, std::int64_t until) const;
    // Whether the run can't be left there.
    bool has_lease_expired(const executor_record& it, const run_record& run) const;
    // Whether the reply comes from the process whose clock is known: another one, started since,
    // would read less.
    bool is_of_known_process(const executor_record& it, const run_record& run,
                             const work::order_reply& reply) const;

    const limits m_limits;
    const common::clock& m_clock;
    order_sink& m_orders;
    const fence_source m_fences;
    executor_observer& m_observer;
    run_listener* m_listener = nullptr;
    const fleet::drained_domains* m_drains = nullptr; // null: none ever is
    record_map m_executors;
    std::uint64_t m_claims_version = 1;
    std::uint64_t m_next_report = 1;
    common::stall_detector m_stalls;
};

} // namespace savorytrail::cell
