// What a home remembers of the submissions made under its ids, and the one gate through which every
// task start passes. All rules of at-most-once are decided here, from this memory alone.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"
#include "core/job/job.h"
#include "core/submission/submission_id.h"

namespace savorytrail::submission {

using shared_answer = std::shared_ptr<const job::answer>;
using shared_job = std::shared_ptr<const job::job>;
using answer_listener = std::function<void(const shared_answer&)>;

struct ledger_limits {
    std::size_t max_records = 100000;
    std::size_t max_bytes = 32 << 20; // jobs not yet final and kept answers

    bool operator==(const ledger_limits&) const = default;
};

enum class open_outcome {
    opened,         // the first submission under this id; the caller admits or closes it
    already_known,  // a resubmission; `answer` is set when it is final
    different_body, // the id stands for another job
    memory_full,    // nothing was recorded
    expired,        // nothing is recorded: the id is past its lifetime
    closed,         // nothing is recorded: the ledger was closed for good
};

struct open_result {
    open_outcome outcome = open_outcome::opened;
    shared_answer answer;
};

struct cancel_result {
    open_outcome outcome = open_outcome::already_known;
    shared_answer answer;
    std::string upstream; // of the submission that this call closed; empty when it closed none

    bool operator==(const cancel_result&) const = default;
};

// How one task's start ended.
enum class task_end {
    answered,    // the executor answered; the result is kept
    failed,      // the executor answered with a server error: it ran
    unknown,     // bytes were sent and no answer came
    not_started, // provably nothing reached the executor; the task may be started again
};

// A final submission, as it is handed over.
struct final_submission {
    submission_id id;
    std::string digest; // empty for an id that was closed before any submission
    common::time_point expiry;
    shared_answer answer;

    bool operator==(const final_submission&) const = default;
};

struct ledger_size {
    std::size_t records = 0;
    std::size_t open = 0; // of the records: without a final answer yet
    std::size_t bytes = 0;

    bool operator==(const ledger_size&) const = default;
};

class ledger {
public:
    explicit ledger(ledger_limits limits) : m_limits(limits) {}
    ledger(const ledger&) = delete;
    ledger& operator=(const ledger&) = delete;

    // Records the first submission under an id, or recognises a further one. `listener` is called
    // once with the final answer, unless the result already carries it; it may be empty.
    open_result open(const submission_id& id, std::string digest, shared_job body,
                     common::time_point expiry, common::time_point now, answer_listener listener);

    // Adds a listener; nullopt when nothing is recorded under the id. A final answer is returned at
    // once and the listener dropped.
    std::optional<shared_answer> listen(const submission_id& id, answer_listener listener);

    // The gate: gives the job exactly once for a task, and only while its submission is open;
    // otherwise nullptr, and the task must not be sent.
    shared_job begin_task(const submission_id& id, std::uint32_t task);

    // The upstream of an open submission; nullopt when it is final or not recorded.
    std::optional<std::string> upstream_of(const submission_id& id);

    void end_task(const submission_id& id, std::uint32_t task, task_end end,
                  job::task_result result);

    // Closes a submission with a final answer that names a state for each task. A submission that
    // is final already keeps its answer. Returns the answer that stands.
    shared_answer give_up(const submission_id& id, job::reason why, std::string detail,
                          std::optional<common::milliseconds> retry_after);

    // As give_up, but also closes an id under which nothing was submitted yet, so that a copy that
    // arrives later starts nothing. The outcome is already_known with the answer that stands, or
    // memory_full, expired or closed.
    cancel_result cancel(const submission_id& id, common::time_point expiry,
                         common::time_point now);

    // Open submissions with a task that waits, whose job fulfils the predicate.
    std::vector<submission_id> find_waiting(const std::function<bool(const job::job&)>& predicate);

    // Gives up every open submission and from now on starts and records nothing. Everything is then
    // final, so that final_submissions() is the same whenever it is called until an expiry.
    void close(job::reason why, const std::string& detail);
    std::vector<final_submission> final_submissions() const;

    // Forgets final submissions past their expiry, at a cost of those that are due.
    void forget_expired(common::time_point now);

    ledger_size size() const;

private:
    enum class progress : std::uint8_t { waiting, started, ran, unknown };

    struct record {
        std::string digest; // empty for an id that was closed before any submission
        shared_job body;    // reset when final
        common::time_point expiry;
        std::vector<progress> tasks;            // invariant: started at most once without
                                                // an intervening not_started
        std::vector<job::task_result> results;  // emptied when final
        std::size_t unfinished = 0;             // tasks waiting or started
        std::size_t bytes = 0;                  // counted in m_bytes
        shared_answer answer;                   // set once, then never changed
        std::vector<answer_listener> listeners; // emptied when final
    };

    struct shard {
        mutable std::mutex mutex;
        absl::flat_hash_map<submission_id, record> records;              // guarded by mutex
        std::set<std::pair<common::time_point, submission_id>> expiries; // of the final records
        // Nothing that expires up to this time is recorded any more: a thread that found an id
        // valid before it was forgotten must not record it anew.
        common::time_point forgotten_until = common::time_point::min();
        bool is_closed = false; // nothing starts and nothing is recorded any more
    };

    // A listener call that is due once the shard's lock is released.
    struct notifications {
        shared_answer answer;
        std::vector<answer_listener> listeners;
        void deliver() const;
    };

    static constexpr std::size_t shard_count = 16;

    shard& shard_of(const submission_id& id);
    // The shard's lock is held.
    cancel_result cancel_in_advance(shard& target, const submission_id& id,
                                    common::time_point expiry, common::time_point now);
    // Why nothing may be recorded under an id without a record; opened when it may.
    open_outcome admit_record(const shard& target, common::time_point expiry,
                              common::time_point now);
    bool reserve_record();
    void set_bytes(record& it, std::size_t bytes);
    notifications finish(shard& target, const submission_id& id, record& it, job::answer answer);
    notifications finish_unsuccessful(shard& target, const submission_id& id, record& it,
                                      job::reason why, std::string detail,
                                      std::optional<common::milliseconds> retry_after);

    const ledger_limits m_limits;
    std::array<shard, shard_count> m_shards;
    std::atomic<std::size_t> m_records{0};
    std::atomic<std::size_t> m_open{0};
    std::atomic<std::size_t> m_bytes{0};
};

} // namespace savorytrail::submission
