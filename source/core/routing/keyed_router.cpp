// Claims the client key, then routes the request by the id claimed.
#include "core/routing/keyed_router.h"

#include "core/job/job_codec.h"

namespace savorytrail::routing {
namespace {

constexpr common::milliseconds store_unavailable_retry{1000};
// A home closes a submission at most this long after its deadline.
constexpr common::milliseconds closing_delay{1000};

// Must not be reported as refused: an earlier attempt with the key may have been accepted and run.
peer::forward_result store_unavailable() {
    peer::forward_result it;
    it.answer.state = job::answer_state::unavailable;
    it.answer.why = job::reason::store_unavailable;
    it.answer.detail = "the platform's table cannot be reached; whether the key is in use is not "
                       "known";
    it.answer.retry_after = store_unavailable_retry;
    return it;
}

// Whether nothing more can start under the id. A home that counts as dead may still be running.
bool is_over(const peer::forward_result& it) {
    return it.outcome == peer::forward_outcome::answered && job::is_final(it.answer.state) &&
           it.answer.why != job::reason::home_dead;
}

} // namespace

keyed_result keyed_router::submit(const std::string& key, job::job job, common::milliseconds wait) {
    const std::string row_key = claim::row_key(job.team, key);
    const claim::claim_row offered{m_ids.issue(1).front(), job::digest(job)};
    const auto claimed = m_claimer.claim({row_key, offered}, m_claim_timeout);
    if (!claimed)
        return {offered.id, store_unavailable()};

    const auto& row = claimed.value().row;
    keyed_result it{row.id, {}};
    if (row.digest != offered.digest) {
        it.result.outcome = peer::forward_outcome::different_body;
        return it;
    }
    const auto open_for = job.deadline.count() > 0 ? job.deadline : m_default_deadline;
    it.result = m_router.route({peer::request_kind::submit, row.id, std::move(job), wait, {}});
    delete_when_over(row_key, claimed.value(), open_for, it.result);
    return it;
}

// Each home deletes the rows of its own ids. A row of a home that no longer exists is deleted by
// the entry that finds it. One id lifetime from now, the id has expired, whatever the clock of its
// home, so that nothing can be submitted under it. What was submitted before is closed `open_for`
// later, unless it is over already; until then, a new id for the key would start its tasks again.
void keyed_router::delete_when_over(const std::string& row_key,
                                    const claim::resolved_claim& claimed,
                                    common::milliseconds open_for,
                                    const peer::forward_result& result) {
    const bool is_own = claimed.row.id.home == m_ids.self();
    const bool is_orphaned =
        result.answer.why == job::reason::home_dead || result.answer.why == job::reason::id_expired;
    if (!is_own && !is_orphaned)
        return;
    const auto expiry = m_ids.latest_expiry();
    const auto over = is_over(result) ? expiry : expiry + open_for + closing_delay;
    m_claimer.delete_after(over, {row_key, claimed.version});
}

} // namespace savorytrail::routing
