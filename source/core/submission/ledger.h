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
};

struct open_result {
    open_outcome outcome = open_outcome::opened;
    shared_answer answer;
};

// How one task's start ended.
enum class task_end {
    answered,    // the executor answered; the result is kept
    failed,      // the executor answered with a server error: it ran
    unknown,     // bytes were sent and no answer came
    not_started, // provably nothing reached the executor; the task may be started again
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
    // once with the final answer, unless the result already carries it.
    open_result open(const submission_id& id, std::string digest, shared_job body,
                     common::time_point expiry, answer_listener listener);

    // Adds a listener; nullopt when nothing is recorded under the id. A final answer is returned at
    // once and the listener dropped.
    std::optional<shared_answer> listen(const submission_id& id, answer_listener listener);

    // The gate: gives the job exactly once for a task, and only while its submission is open;
    // otherwise nullptr, and the task must not be sent.
    shared_job begin_task(const submission_id& id, std::uint32_t task);

    // The upstream of an open submission.
    std::optional<std::string> upstream_of(const submission_id& id);

    void end_task(const submission_id& id, std::uint32_t task, task_end end,
                  job::task_result result);

    // Closes a submission with a final answer that names a state for each task. A submission that
    // is final already keeps its answer. Returns the answer that stands.
    shared_answer give_up(const submission_id& id, job::reason why, std::string detail,
                          std::optional<common::milliseconds> retry_after);

    // As give_up, but also closes an id under which nothing was submitted yet, so that a copy that
    // arrives later starts nothing.
    shared_answer cancel(const submission_id& id, common::time_point expiry);

    // Forgets final submissions past their expiry.
    void forget_expired(common::time_point now);

    ledger_size size() const;

private:
    enum class progress : std::uint8_t { waiting, started, ran, lost };

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
        absl::flat_hash_map<submission_id, record> records; // guarded by mutex
    };

    // A listener call that is due once the shard's lock is released.
    struct notices {
        shared_answer answer;
        std::vector<answer_listener> listeners;
        void deliver() const;
    };

    static constexpr std::size_t shard_count = 16;

    shard& shard_of(const submission_id& id);
    bool reserve();
    void set_bytes(record& it, std::size_t bytes);
    notices finish(record& it, job::answer answer);
    notices finish_unsuccessful(record& it, job::reason why, std::string detail,
                                std::optional<common::milliseconds> retry_after);

    const ledger_limits m_limits;
    std::array<shard, shard_count> m_shards;
    std::atomic<std::size_t> m_records{0};
    std::atomic<std::size_t> m_open{0};
    std::atomic<std::size_t> m_bytes{0};
};

} // namespace savorytrail::submission
