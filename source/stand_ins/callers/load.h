// Open-loop load generator: jobs arrive on schedule, whether or not earlier ones have been
// answered. Each entry has a pool of caller threads with one connection each; the pool grows when
// no thread is idle.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins/callers/job_generator.h"
#include "stand_ins/callers/options.h"
#include "stand_ins/callers/report.h"
#include "stand_ins/callers/session.h"

namespace savorytrail::stand_ins {

// The caller threads of one entry. They are detached, since the program exits without joining them.
class caller_pool {
public:
    using work = std::function<void(session&)>;

    caller_pool(const load_options& options, std::size_t entry, message_counts& messages);

    // Opens connections and fetches submission ids ahead of the first job.
    void open(std::size_t connections);
    void run(work fn);
    // Waits until nothing is queued or running. Returns false when the deadline passes first.
    bool wait_until_idle(common::time_point deadline);

private:
    void add_thread();
    void run_caller();

    const load_options& m_options;
    const std::size_t m_entry;
    message_counts& m_messages;
    std::mutex m_mutex;
    std::condition_variable m_work_added;
    std::condition_variable m_became_idle;
    std::deque<work> m_work; // guarded by m_mutex, as all below
    std::size_t m_threads = 0;
    std::size_t m_idle = 0;
};

class load {
public:
    explicit load(load_options options);

    // Runs the whole load. Returns false if an answer was wrong, partial, crossed or inconsistent.
    bool run();
    std::string report_json() const { return m_report.to_json(m_options.duration, m_messages); }

private:
    struct submission;
    void offer(common::time_point due);
    void submit_first(const std::shared_ptr<submission>& it, std::size_t entry, session& caller);
    void submit_copy(const std::shared_ptr<submission>& it, session& caller);
    void send_due_cancellations(common::time_point next);
    caller_pool& pool(std::size_t number) { return *m_pools[number % m_pools.size()]; }

    const load_options m_options;
    const common::system_clock m_clock;
    job_generator m_job_generator;
    report m_report;
    message_counts m_messages;
    common::time_point m_measure_from; // jobs that arrive before it are not reported
    common::time_point m_end;
    std::size_t m_arrivals = 0;
    // Scheduled cancellations, by time.
    std::multimap<common::time_point, std::shared_ptr<submission>> m_cancellations;
    std::vector<std::unique_ptr<caller_pool>> m_pools; // one per entry
};

} // namespace savorytrail::stand_ins
