// Submissions under client keys: finds the submission id that stands for the key, claiming the key
// with a fresh id of this home when there is none, and goes on as with any id.
#pragma once

#include <string>

#include "core/claim/claimer.h"
#include "core/routing/router.h"

namespace savorytrail::routing {

struct keyed_result {
    submission::submission_id id; // meaningless while the store cannot be reached
    peer::forward_result result;

    bool operator==(const keyed_result&) const = default;
};

class keyed_router {
public:
    // `bound` is the longest wait for the table.
    keyed_router(submission::issuer& ids, claim::claimer& claimer, router& router,
                 common::milliseconds bound)
        : m_ids(ids), m_claimer(claimer), m_router(router), m_bound(bound) {}

    keyed_result submit(const std::string& key, job::job job, common::milliseconds wait);

private:
    void delete_when_expired(const std::string& row_key, const claim::resolved_claim& claimed,
                             const peer::forward_result& result);

    submission::issuer& m_ids;
    claim::claimer& m_claimer;
    router& m_router;
    const common::milliseconds m_bound;
};

} // namespace savorytrail::routing
