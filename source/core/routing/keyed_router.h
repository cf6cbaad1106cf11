// Routes submissions with a client key (idempotency key): looks up the submission id for the key,
// or claims the key with a new id of this home, then routes the request by that id.
#pragma once

#include <string>

#include "core/claim/claimer.h"
#include "core/routing/router.h"

namespace savorytrail::routing {

struct keyed_result {
    submission::submission_id id; // not valid when the store was unavailable
    peer::forward_result result;

    bool operator==(const keyed_result&) const = default;
};

class keyed_router {
public:
    // `claim_timeout` limits the wait for the table; `default_deadline` is that of the homes.
    keyed_router(submission::issuer& ids, claim::claimer& claimer, router& router,
                 common::milliseconds claim_timeout, common::milliseconds default_deadline)
        : m_ids(ids), m_claimer(claimer), m_router(router), m_claim_timeout(claim_timeout),
          m_default_deadline(default_deadline) {}

    keyed_result submit(const std::string& key, job::job job, common::milliseconds wait);

private:
    void delete_when_over(const std::string& row_key, const claim::resolved_claim& claimed,
                          common::milliseconds open_for, const peer::forward_result& result);

    submission::issuer& m_ids;
    claim::claimer& m_claimer;
    router& m_router;
    const common::milliseconds m_claim_timeout;
    const common::milliseconds m_default_deadline; // of a job that names none
};

} // namespace savorytrail::routing
