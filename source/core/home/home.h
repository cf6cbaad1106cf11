// Handles the submissions whose ids were issued by one incarnation: admission, task starts, final
// answers. Performs no I/O: requests to executors are passed to a sink, and their outcomes are
// reported by task_done(). The programs and the stateful fuzz tests run the same code.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <shared_mutex>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/dispatch/dispatcher.h"
#include "core/home/deadline_queue.h"
#include "core/home/observer.h"
#include "core/job/job.h"
#include "core/manifest/manifest.h"
#include "core/quota/limiter.h"
#include "core/submission/issuer.h"
#include "core/submission/ledger.h"

namespace savorytrail::home {

// A request to one executor, to be sent once.
struct outgoing_task {
    dispatch::task_start start;
    submission::shared_job body; // the task is body->tasks[start.task]
    common::milliseconds timeout{0};
    int not_accepted_status = 0; // HTTP status of an executor that did not start the task
};

struct task_outcome {
    submission::task_end end = submission::task_end::unknown;
    job::task_result result;
    common::milliseconds duration{0};
};

using task_sink = std::function<void(outgoing_task)>;

enum class request_outcome {
    answered,       // `answer` is set: final, unavailable, or running
    waiting,        // the listener will be called with the final answer
    different_body, // the id was submitted with another job
    forged,         // this incarnation never issued the id
};

struct request_result {
    request_outcome outcome = request_outcome::answered;
    submission::shared_answer answer;
};

struct home_limits {
    common::milliseconds default_deadline{60000}; // for jobs without a deadline of their own

    bool operator==(const home_limits&) const = default;
};

class home {
public:
    home(submission::issuer& ids, submission::ledger& ledger, dispatch::dispatcher& dispatcher,
         const common::clock& clock, home_limits limits, task_sink sink);
    // Called before the home is used by other threads. The observer outlives the home.
    void set_observer(observer& to) { m_observer = &to; }
    home(const home&) = delete;
    home& operator=(const home&) = delete;

    request_result submit(const submission::submission_id& id, job::job job,
                          submission::answer_listener listener);
    request_result query(const submission::submission_id& id, submission::answer_listener listener);
    request_result cancel(const submission::submission_id& id);

    // Reports the end of an outgoing task. Called exactly once for each.
    void task_done(const outgoing_task& task, task_outcome outcome);

    // Makes a manifest current. Submissions with waiting tasks whose upstream or team it no longer
    // names are given up at once; those whose tasks have all started run to completion.
    void apply(std::shared_ptr<const manifest::manifest> manifest);
    void set_executors(const std::string& upstream,
                       const std::vector<dispatch::executor_share>& shares);

    // Sends the starts returned by dispatcher calls that were made outside the home.
    void send_starts(std::vector<dispatch::task_start> starts) { send(std::move(starts)); }

    // The teams' quota at this entry; its shares are set by the caller.
    quota::limiter& quota() { return m_quota; }

    // Refuses all further submissions. Part of a planned stop.
    void stop_admitting() { m_is_stopping = true; }
    // Gives up all open submissions; afterwards no task starts and no answer changes.
    void close();
    // Submissions without a final answer.
    std::size_t open_submissions() const { return m_ledger.size().open; }
    // Requests sent to executors whose outcome is not known yet.
    std::size_t tasks_in_flight() const { return m_in_flight.load(); }

    // Gives up submissions past their deadline and removes the records of expired ones.
    void tick();

private:
    // Reports an opened submission, and later its final answer, to the observer.
    void observe(const submission::submission_id& id, const job::job& body);
    request_result to_request_result(const submission::open_result& opened,
                                     std::size_t tasks) const;
    dispatch::admission_result admit(const submission::submission_id& id,
                                     const submission::shared_job& job,
                                     std::vector<dispatch::task_start>& starts);
    void send(std::vector<dispatch::task_start> starts);
    void drop(const dispatch::task_start& it, std::vector<dispatch::task_start>& starts);
    std::shared_ptr<const manifest::manifest> current_manifest() const;

    submission::issuer& m_ids;
    submission::ledger& m_ledger;
    dispatch::dispatcher& m_dispatcher;
    const common::clock& m_clock;
    const home_limits m_limits;
    const task_sink m_sink;
    observer m_no_observer;
    observer* m_observer = &m_no_observer;
    deadline_queue m_deadlines;
    quota::limiter m_quota;
    std::atomic<bool> m_is_stopping{false};
    std::atomic<std::size_t> m_in_flight{0};
    mutable std::shared_mutex m_manifest_mutex;
    std::shared_ptr<const manifest::manifest> m_manifest; // guarded by m_manifest_mutex
};

} // namespace savorytrail::home
