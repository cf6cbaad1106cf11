// State of the submissions made under a home's ids. Every task start is authorised here, so that
// at-most-once execution depends on this state alone.
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
    different_body, // the id was submitted with another job
    memory_full,    // nothing was recorded
    expired,        // nothing is recorded: the id is past its lifetime
    closed,         // nothing is recorded: the ledger was closed permanently
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

// How a started task ended.
enum class task_end {
    answered,    // the executor answered; the result is kept
    failed,      // the executor answered with a server error: it ran
    unknown,     // bytes were sent and no answer came
    not_started, // provably nothing reached the executor; the task may be started again
};

// A submission with a final answer, as transferred to the successor.
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

    // Records the first submission under an id, or recognises a resubmission. `listener` is called
    // once with the final answer, unless the result already carries it; it may be empty.
    open_result open(const submission_id& id, std::string digest, shared_job body,
                     common::time_point expiry, common::time_point now, answer_listener listener);

    // Adds a listener; nullopt when nothing is recorded under the id. A final answer is returned at
    // once and the listener dropped.
    std::optional<shared_answer> listen(const submission_id& id, answer_listener listener);

    // Authorises the start of a task. Returns the job once per task (again only after not_started),
    // and only while the submission is open; on nullptr the task must not be sent.
    shared_job begin_task(const submission_id& id, std::uint32_t task);

    // The upstream of an open submission; nullopt when it is final or not recorded.
    std::optional<std::string> upstream_of(const submission_id& id);

    void end_task(const submission_id& id, std::uint32_t task, task_end end,
                  job::task_result result);

    // Closes a submission with a final answer that names a state for each task. A submission that
    // already has a final answer keeps it. Returns the answer in effect.
    shared_answer give_up(const submission_id& id, job::reason why, std::string detail,
                          std::optional<common::milliseconds> retry_after);

    // As give_up(), but also closes an id under which nothing was submitted yet, so that a
    // submission that arrives later starts nothing. The outcome is already_known with the answer in
    // effect, or memory_full, expired or closed.
    cancel_result cancel(const submission_id& id, common::time_point expiry,
                         common::time_point now);

    // Open submissions that have a waiting task and whose job satisfies the predicate.
    std::vector<submission_id> find_waiting(const std::function<bool(const job::job&)>& predicate);

    // Gives up all open submissions; afterwards no task is started and nothing is recorded. All
    // answers are then final, so that final_submissions() is constant until an id expires.
    void close(job::reason why, const std::string& detail);
    std::vector<final_submission> final_submissions() const;

    // Removes expired final submissions; the cost is proportional to their number.
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
        // Ids that expire up to this time are no longer recorded: a thread that checked an id
        // before its record was removed must not create the record again.
        common::time_point forgotten_until = common::time_point::min();
        bool is_closed = false; // no task is started and nothing is recorded
    };

    // Listener calls to be made after the shard's lock is released.
    struct notifications {
        shared_answer answer;
        std::vector<answer_listener> listeners;
        void deliver() const;
    };

    static constexpr std::size_t shard_count = 16;

    shard& shard_of(const submission_id& id);
    // Called with the shard's lock held.
    cancel_result cancel_in_advance(shard& target, const submission_id& id,
                                    common::time_point expiry, common::time_point now);
    // Reserves a record for an id that has none. Returns opened on success, otherwise why nothing
    // may be recorded.
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
