// Remembers under which tasks executors have crashed, whoever ran them and however often their jobs
// were sent. All runs on a crashed executor may be the cause, so a task is only suspected at first.
// It is proven to crash executors when one crashes while it runs there alone, after another crash,
// or when three have crashed under it. Records merge as sets, so entries can tell each other what
// they know, in any order and again and again. Design: docs/design/deadly-tasks.md.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/cell/lru_map.h"
#include "core/cell/run_outcome.h"
#include "core/fleet/shared_state.h"

namespace savorytrail::cell {

// Identifies a task in records of crashes, the same in every process. The first is derived from
// the job's id once, the second from it for each task.
std::uint64_t crash_key_of_job(const std::string& job);
std::uint64_t crash_key_of_task(std::uint64_t job_key, const work::task_id& task);
inline std::uint64_t crash_key_of(const work::task_id& task) {
    return crash_key_of_task(crash_key_of_job(task.job), task);
}

class crash_history {
public:
    static constexpr std::size_t max_tasks = 512;
    static constexpr std::size_t max_executors = 8; // counted for one task
    static constexpr std::size_t max_shared = 6;    // in a heartbeat

    void note_crash(const executor_crash& it, common::time_point now);
    // The process answers again, so it had not crashed.
    void note_refuted(const std::string& executor, std::int64_t start_time_ms);
    // A run of the task has gone on for longer than those on the crashed executors, or has ended by
    // itself. The crashes still count.
    void note_survived(const work::task_id& task);

    // All by crash_key_of() a task.
    // Whether the task should run where a crash hurts nothing else.
    bool is_suspect(std::uint64_t task) const;
    // Whether it must not be started any more.
    bool is_proven(std::uint64_t task) const;
    int crashes(std::uint64_t task) const;
    // How long a run of a suspect must go on to clear it.
    common::milliseconds probation(std::uint64_t task) const;
    bool is_empty() const { return m_tasks.size() == 0; }
    std::size_t size() const { return m_tasks.size(); }

    // The records that changed last.
    std::vector<fleet::task_crashes> to_share(common::time_point now) const;
    struct received {
        std::size_t ignored = 0; // malformed or too old
        bool has_news = false;   // something was not known yet

        bool operator==(const received&) const = default;
    };
    received receive(const std::vector<fleet::task_crashes>& records, common::time_point now);
    // Forgets what is too old to matter; call at intervals of seconds or less.
    void forget_old(common::time_point now);

private:
    struct suspicion {
        std::vector<std::uint64_t> executors; // sorted, without duplicates
        common::time_point last_crash;
        common::milliseconds longest_age{0}; // of the runs, when the executors crashed
        bool is_suspect = false;
        bool is_proven = false;
    };

    lru_map<std::uint64_t, suspicion> m_tasks{max_tasks}; // by crash_key_of() the task
};

} // namespace savorytrail::cell
