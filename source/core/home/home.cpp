// Implementation of the home. The ledger's and the dispatcher's locks are never held together.
#include "core/home/home.h"

#include <mutex>

#include "absl/strings/str_cat.h"
#include "core/dispatch/learned_times.h"
#include "core/job/job_codec.h"
#include "core/submission/answers.h"

namespace savorytrail::home {
namespace {

constexpr common::milliseconds unavailable_retry{1000};
constexpr common::milliseconds stopping_retry{200};

submission::shared_answer make_answer(job::answer_state state, job::reason why, std::string detail,
                                      std::optional<common::milliseconds> retry_after = {}) {
    job::answer it;
    it.state = state;
    it.why = why;
    it.detail = std::move(detail);
    it.retry_after = retry_after;
    return std::make_shared<const job::answer>(std::move(it));
}

dispatch::job_descriptor make_job_descriptor(const submission::submission_id& id,
                                             const job::job& job,
                                             const manifest::upstream& upstream,
                                             common::time_point now, common::time_point deadline) {
    dispatch::job_descriptor descriptor;
    descriptor.id = id;
    descriptor.team = job.team;
    descriptor.upstream = job.upstream;
    descriptor.arrived = now;
    descriptor.deadline = deadline;
    descriptor.expected.reserve(job.tasks.size());
    descriptor.kinds.reserve(job.tasks.size());
    for (const auto& it : job.tasks) {
        descriptor.expected.push_back(it.expected);
        descriptor.kinds.push_back(dispatch::task_kind(it.path));
    }
    for (const auto& it : upstream.executors)
        descriptor.fleet_slots += it.slots;
    return descriptor;
}

request_result answered(submission::shared_answer answer) {
    return {request_outcome::answered, std::move(answer)};
}

} // namespace

home::home(submission::issuer& ids, submission::ledger& ledger, dispatch::dispatcher& dispatcher,
           const common::clock& clock, home_limits limits, task_sink sink)
    : m_ids(ids), m_ledger(ledger), m_dispatcher(dispatcher), m_clock(clock), m_limits(limits),
      m_sink(std::move(sink)) {}

request_result home::submit(const submission::submission_id& id, job::job job,
                            submission::answer_listener listener) {
    if (!m_ids.is_genuine(id))
        return {request_outcome::forged, nullptr};
    const std::size_t task_count = job.tasks.size();
    std::string digest = job::digest(job);
    const auto body = std::make_shared<const job::job>(std::move(job));
    const auto opened =
        m_ledger.open(id, std::move(digest), body, m_ids.expiry(id), m_clock.now(), nullptr);
    if (opened.outcome == submission::open_outcome::already_known) {
        m_observer->resubmitted(id);
        return query(id, std::move(listener));
    }
    if (opened.outcome != submission::open_outcome::opened) {
        auto result = to_request_result(opened, task_count);
        if (opened.outcome == submission::open_outcome::memory_full)
            m_observer->not_recorded(id, *result.answer);
        return result;
    }
    // The observer listens first, so that it knows of the answer before the caller does.
    observe(id, *body);
    auto known = query(id, std::move(listener));
    if (known.outcome != request_outcome::waiting)
        return known; // closed by another thread since it was recorded

    std::vector<dispatch::task_start> starts;
    const auto result = admit(id, body, starts);
    if (!result.is_accepted)
        m_ledger.give_up(id, result.why, result.detail, result.retry_after);
    else
        m_observer->admitted(id);
    if (result.is_accepted && !m_ledger.upstream_of(id))
        m_dispatcher.cancel(body->upstream, id); // closed by another thread during the admission
    send(std::move(starts));
    return {request_outcome::waiting, nullptr};
}

void home::observe(const submission::submission_id& id, const job::job& body) {
    m_observer->opened(id, body);
    const auto known = m_ledger.listen(id, [this, id](const submission::shared_answer& answer) {
        m_observer->answered(id, *answer);
    });
    // Another thread may have closed it already.
    if (known && *known)
        m_observer->answered(id, **known);
}

request_result home::query(const submission::submission_id& id,
                           submission::answer_listener listener) {
    if (!m_ids.is_genuine(id))
        return {request_outcome::forged, nullptr};
    const auto known = m_ledger.listen(id, std::move(listener));
    if (known)
        return *known ? answered(*known) : request_result{request_outcome::waiting, nullptr};
    if (m_ids.is_expired(id))
        return answered(submission::make_expired_answer(0));
    return answered(make_answer(job::answer_state::unavailable, job::reason::never_submitted,
                                "nothing was submitted under this id yet"));
}

request_result home::cancel(const submission::submission_id& id) {
    if (!m_ids.is_genuine(id))
        return {request_outcome::forged, nullptr};
    const auto cancelled = m_ledger.cancel(id, m_ids.expiry(id), m_clock.now());
    if (!cancelled.upstream.empty())
        m_dispatcher.cancel(cancelled.upstream, id);
    return to_request_result({cancelled.outcome, cancelled.answer}, 0);
}

request_result home::to_request_result(const submission::open_result& opened,
                                       std::size_t tasks) const {
    switch (opened.outcome) {
    case submission::open_outcome::different_body:
        return {request_outcome::different_body, nullptr};
    case submission::open_outcome::memory_full:
        return answered(make_answer(job::answer_state::unavailable, job::reason::memory_full,
                                    "this entry cannot remember one more submission",
                                    unavailable_retry));
    case submission::open_outcome::expired:
        return answered(submission::make_expired_answer(tasks));
    case submission::open_outcome::closed:
        return answered(submission::make_never_submitted_answer(tasks));
    case submission::open_outcome::already_known:
    case submission::open_outcome::opened:
        break;
    }
    if (opened.answer)
        return answered(opened.answer);
    return {request_outcome::waiting, nullptr};
}

void home::task_done(const outgoing_task& task, task_outcome outcome) {
    constexpr auto to_completion = [](submission::task_end end) {
        switch (end) {
        case submission::task_end::answered:
            return dispatch::completion::answered;
        case submission::task_end::failed:
            return dispatch::completion::failed;
        case submission::task_end::unknown:
            return dispatch::completion::unknown;
        case submission::task_end::not_started:
            return dispatch::completion::not_started;
        }
        return dispatch::completion::unknown;
    };
    m_in_flight--;
    m_observer->task_ended(task, outcome);
    const bool ends_job =
        outcome.end == submission::task_end::failed || outcome.end == submission::task_end::unknown;
    // The ledger is updated first: it must allow a requeued task to start before the dispatcher can
    // return it again.
    m_ledger.end_task(task.start.id, task.start.task, outcome.end, std::move(outcome.result));
    if (ends_job)
        m_dispatcher.cancel(task.start.upstream, task.start.id);
    std::vector<dispatch::task_start> starts;
    const auto given_up = m_dispatcher.complete(task.start, to_completion(outcome.end),
                                                outcome.duration, m_clock.now(), starts);
    if (given_up)
        m_ledger.give_up(task.start.id, given_up->why, given_up->detail, given_up->retry_after);
    send(std::move(starts));
}

void home::apply(std::shared_ptr<const manifest::manifest> manifest) {
    {
        const std::lock_guard lock(m_manifest_mutex);
        m_manifest = manifest;
    }
    // A submission that is recorded after this point is admitted under the new manifest.
    const auto is_gone = [&manifest](const job::job& it) {
        return manifest->find_upstream(it.upstream) == nullptr ||
               manifest->find_team(it.team) == nullptr;
    };
    for (const auto& id : m_ledger.find_waiting(is_gone)) {
        const auto upstream = m_ledger.upstream_of(id);
        const bool has_upstream = upstream && manifest->find_upstream(*upstream) != nullptr;
        m_ledger.give_up(id,
                         has_upstream ? job::reason::unknown_team : job::reason::unknown_upstream,
                         "the manifest no longer names the job's upstream or team", std::nullopt);
        if (upstream)
            m_dispatcher.cancel(*upstream, id);
    }
}

void home::close() {
    m_is_stopping = true;
    m_ledger.close(job::reason::stopping, "the entry stopped before every task had ended");
}

void home::set_executors(const std::string& upstream,
                         const std::vector<dispatch::executor_share>& shares) {
    std::vector<dispatch::task_start> starts;
    m_dispatcher.set_executors(upstream, shares, m_clock.now(), starts);
    send(std::move(starts));
}

void home::tick() {
    const auto now = m_clock.now();
    for (const auto& it : m_deadlines.take_due(now)) {
        m_ledger.give_up(it.id, job::reason::deadline_passed,
                         "tasks were unfinished at the deadline", std::nullopt);
        m_dispatcher.cancel(it.upstream, it.id);
    }
    m_ledger.forget_expired(now);
    std::vector<dispatch::task_start> starts;
    m_dispatcher.tick(now, starts);
    send(std::move(starts));
}

dispatch::admission_result home::admit(const submission::submission_id& id,
                                       const submission::shared_job& job,
                                       std::vector<dispatch::task_start>& starts) {
    if (m_is_stopping)
        return {false, job::reason::stopping, "this entry is in its planned stop", stopping_retry};
    const auto manifest = current_manifest();
    if (!manifest)
        return {false, job::reason::not_configured, "this entry has no manifest yet",
                unavailable_retry};
    if (manifest->find_team(job->team) == nullptr)
        return {false, job::reason::unknown_team,
                absl::StrCat("the manifest has no team ", job->team), std::nullopt};
    const auto* upstream = manifest->find_upstream(job->upstream);
    if (upstream == nullptr)
        return {false, job::reason::unknown_upstream,
                absl::StrCat("the manifest has no upstream ", job->upstream), std::nullopt};

    const auto now = m_clock.now();
    const auto allowed = job->deadline.count() > 0 ? job->deadline : m_limits.default_deadline;
    const auto descriptor = make_job_descriptor(id, *job, *upstream, now, now + allowed);
    const auto quota_retry = m_quota.take(job->team, job->tasks.size(), now);
    if (quota_retry)
        return {false, job::reason::quota_exceeded,
                absl::StrCat("team ", job->team, " has used up its task starts"), quota_retry};
    m_deadlines.add(descriptor.deadline, {id, job->upstream});
    auto result = m_dispatcher.submit(descriptor, now, starts);
    if (!result.is_accepted)
        m_quota.refund(job->team, job->tasks.size(), now);
    return result;
}

void home::send(std::vector<dispatch::task_start> starts) {
    // Dropping a start frees its slot, which can append further starts.
    for (std::size_t i = 0; i < starts.size(); i++) {
        const dispatch::task_start it = starts[i];
        const auto manifest = current_manifest();
        const auto* upstream = manifest ? manifest->find_upstream(it.upstream) : nullptr;
        if (upstream == nullptr)
            m_ledger.give_up(it.id, job::reason::unknown_upstream,
                             "the manifest no longer names the job's upstream", std::nullopt);
        auto body = m_ledger.begin_task(it.id, it.task);
        if (!body) {
            drop(it, starts);
            continue;
        }
        m_in_flight++;
        const outgoing_task task{it, std::move(body), upstream->task_timeout,
                                 upstream->not_accepted_status};
        m_observer->task_sent(task);
        m_sink(task);
    }
}

void home::drop(const dispatch::task_start& it, std::vector<dispatch::task_start>& starts) {
    m_dispatcher.complete(it, dispatch::completion::dropped, common::milliseconds(0), m_clock.now(),
                          starts);
}

std::shared_ptr<const manifest::manifest> home::current_manifest() const {
    const std::shared_lock lock(m_manifest_mutex);
    return m_manifest;
}

} // namespace savorytrail::home
