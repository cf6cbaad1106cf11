// Claims the client key, then routes the request by the id claimed.
#include "core/routing/keyed_router.h"

#include "core/job/job_codec.h"

namespace savorytrail::routing {
namespace {

constexpr common::milliseconds store_unavailable_retry{1000};

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
    it.result = m_router.route({peer::request_kind::submit, row.id, std::move(job), wait, {}});
    delete_when_expired(row_key, claimed.value(), it.result);
    return it;
}

// Each home deletes the rows of its own ids. A row of a home that no longer exists is deleted by
// the entry that finds it, one id lifetime from now: by then the id has expired, whatever the clock
// of its home.
void keyed_router::delete_when_expired(const std::string& row_key,
                                       const claim::resolved_claim& claimed,
                                       const peer::forward_result& result) {
    const bool is_own = claimed.row.id.home == m_ids.self();
    const bool is_orphaned =
        result.answer.why == job::reason::home_dead || result.answer.why == job::reason::id_expired;
    if (is_own || is_orphaned)
        m_claimer.delete_after(m_ids.latest_expiry(), {row_key, claimed.version});
}

} // namespace savorytrail::routing
