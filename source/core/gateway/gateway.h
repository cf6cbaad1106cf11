// Sends each caller's job to a dispatcher, of this entry or another, and returns its outcome. When
// the connection to the dispatcher is lost, the outcome is unknown: the caller is told that the job
// is given up. The dispatcher, if it is running, then gets no further lease for the job, so that
// its runs have ended when the caller resends it. Not thread-safe.
#pragma once

#include <map>
#include <memory>
#include <set>

#include "core/cell/dispatcher.h"
#include "core/common/error.h"
#include "core/common/stall_detector.h"
#include "core/fleet/drained_domains.h"
#include "core/fleet/view.h"
#include "core/gateway/forwarding_codec.h"
#include "core/gateway/target_choice.h"

namespace savorytrail::gateway {

// Forwards jobs to the dispatchers of other entries.
class forwarding_client {
public:
    using callback = std::function<void(common::result<work::outcome>)>;
    using canceller = std::function<void()>;

    virtual ~forwarding_client() = default;
    // Errors are those of common::error; `unreachable` means that nothing was sent. The callback is
    // not called after the canceller has been.
    virtual canceller forward(const common::endpoint& to, const passed_job& it, callback done) = 0;
    // Tells an entry that the outcome of a job that this entry forwarded to it is no longer needed.
    virtual void abandon(const common::endpoint& to, const abandoned_job& it) = 0;

protected:
    forwarding_client() = default;
    forwarding_client(const forwarding_client&) = default;
    forwarding_client& operator=(const forwarding_client&) = default;
};

// Where the gateway would send a job now.
struct gateway_explanation {
    struct candidate {
        target cell;
        std::optional<common::milliseconds> age; // of the load; nullopt for the own cell
        rated_target rating;
    };

    std::vector<candidate> candidates;
    bool are_all_drained = false;
    bool is_out_of_time = false;     // the caller's patience ends
    cell::placement_explanation own; // what the own cell would do with the job
};

class gateway {
public:
    gateway(const common::clock& clock, const common::stall_detector& stalls, fleet::view& view,
            cell::dispatcher& own, forwarding_client& client, cell::job_observer& observer,
            common::random_source& random);

    // Jobs go to no dispatcher of a drained domain.
    void set_drains(const fleet::drained_domains& drains) { m_drains = &drains; }
    // The failure domains that have executors. Empty if not known: then those with live entries.
    void set_executor_domains(std::set<std::string> domains) {
        m_executor_domains = std::move(domains);
    }

    // `done` is called once, possibly before this returns, unless the ticket is abandoned.
    std::uint64_t submit(work::job job, cell::done_callback done);
    void abandon(std::uint64_t ticket);
    // Ends the job for good and answers its caller so. Its dispatcher is told, and gets no further
    // lease for it. Returns whether there was such a job here.
    bool cancel(const cancelled_job& it);
    // What submit() would do with the job, without changing anything.
    gateway_explanation explain(work::job job) const;

    // To be called about every 50 ms: keeps the links to the dispatchers of open jobs, and retries
    // jobs that found no dispatcher.
    void tick();

    // Which of the forwarded jobs the dispatcher may go on with: those whose callers still wait
    // here for its outcome. Not to be called while disconnects of callers may be waiting to be
    // processed, as after a stall.
    lease_answer grant_leases(const lease_request& request);

    // The entry's load was learnt.
    void on_load_learnt(const std::string& of) { m_sent_since_heartbeat.erase(of); }
    void on_entry_lost(const std::string& name);
    std::size_t open_jobs() const { return m_open.size(); }

private:
    struct open_job {
        work::job job;
        common::time_point arrived;
        common::time_point first_sent; // estimate of when the caller first sent the job
        common::time_point give_up_at;
        cell::done_callback done;
        std::string target; // name of an entry; this entry's own for the local dispatcher
        std::map<std::string, common::time_point> tried; // when it was offered, or refused there
        // Cells that would have been late with it. Asked again once no other cell is left to ask.
        std::set<std::string> late_at;
        bool accepts_lateness = false; // every cell that was to be asked would be late
        // Shortest of those that cells have refused it with.
        std::optional<common::milliseconds> retry_after;
        std::uint64_t own_ticket = 0;
        std::uint64_t forward_number = 0; // 0 while it is not forwarded
        forwarding_client::canceller cancel;
    };

    // First tasks of jobs that were forwarded and not refused, in thousandths of a core.
    struct sent_work {
        std::int64_t total = 0;
        std::map<std::uint64_t, std::int64_t> by_forward;
    };

    bool is_drained(const fleet::peer& it) const;
    // Whether no domain with executors is left to place a job in.
    bool are_all_drained() const;
    std::vector<target> targets(const std::map<std::string, common::time_point>& tried) const;
    std::vector<target> targets_left(const open_job& it) const;
    job_slack slack_of(const open_job& it) const;
    // When the least busy cell will have done the work that waits there.
    common::milliseconds retry_after() const;
    void place(std::uint64_t ticket);
    // Cells that refused the job before, and whose load is known from a later time, may be asked
    // again.
    void forget_old_refusals(open_job& it) const;
    void on_refused(std::uint64_t ticket, const work::outcome& outcome);
    // The cell that has returned the job would be late with it.
    void on_late(open_job& open, const work::outcome& outcome) const;
    void note_not_offered_further(const open_job& it) const;
    // The room that was counted for a forward is free, as its job was refused.
    void return_room(const std::string& entry, std::uint64_t forward_number);
    void forward(std::uint64_t ticket, const fleet::peer& to);
    bool is_held_for(const std::string& dispatcher, std::uint64_t forward_number) const;
    void end_forward(open_job& it);
    void cancel_forward(std::uint64_t ticket, std::error_code ec);
    // The caller sends the job again: its earlier attempts have ended, seen here or not.
    void end_earlier_attempts(const std::string& job);
    // Callers' patience ran on while the VM was suspended.
    void count_suspension();
    void wait_or_refuse(std::uint64_t ticket);
    void refuse(std::uint64_t ticket, cell::refusal_cause cause, const std::string& reason);
    // For the log: what the cells that the job was not offered to have told, and when.
    std::string describe_targets(const std::vector<target>& list) const;
    void on_outcome(std::uint64_t ticket, const work::outcome& outcome);
    void on_forwarding_failed(std::uint64_t ticket, std::error_code ec);
    void finish(std::uint64_t ticket, const work::outcome& outcome);
    // Of the open jobs that match: a copy, as ending one changes m_open.
    std::vector<std::uint64_t>
    tickets_of(const std::function<bool(const open_job&)>& matches) const;
    void note_caller_left(const open_job& job);
    // Ends the job here and at its dispatcher, without an answer to its caller.
    void withdraw(std::uint64_t ticket);

    const common::clock& m_clock;
    const common::stall_detector& m_stalls;
    fleet::view& m_view;
    cell::dispatcher& m_own;
    forwarding_client& m_client;
    cell::job_observer& m_observer;
    common::random_source& m_random;
    const fleet::drained_domains* m_drains = nullptr; // null: none ever is
    std::set<std::string> m_executor_domains;
    std::map<std::uint64_t, open_job> m_open;
    std::set<std::uint64_t> m_waiting; // tickets of jobs that found no dispatcher
    std::map<std::string, sent_work> m_sent_since_heartbeat; // by entry
    std::map<std::uint64_t, std::uint64_t> m_forwards;       // tickets, by number of the forward
    std::map<std::string, lease_stamp> m_last_stamps;        // by dispatcher
    common::milliseconds m_suspended;                        // total at the last tick
    std::uint64_t m_next_ticket = 1;
    std::uint64_t m_next_forward = 1;
};

} // namespace savorytrail::gateway
