// Values that a stopping entry sends to its successor and to the other entries.
#pragma once

#include <string>
#include <vector>

#include "core/claim/claimed_key.h"
#include "core/common/endpoint.h"
#include "core/submission/issuer.h"
#include "core/submission/ledger.h"

namespace savorytrail::handover {

struct inherited_record {
    submission::submission_id id;
    std::string digest; // empty for an id that was closed before any submission
    submission::shared_answer answer;

    bool operator==(const inherited_record&) const = default;
};

// The submissions of one stopped incarnation. Lifetimes are relative: the remaining lifetime of an
// id is its expires_ms minus credentials.age.
// Invariant: an id of the incarnation without a record either had expired at credentials.age, or
// was never used for a submission.
struct home_snapshot {
    submission::issuer_credentials credentials;
    std::vector<inherited_record> records;
    std::vector<claim::claimed_key> keys; // deleted after the last id has expired

    bool operator==(const home_snapshot&) const = default;
};

// The entry that answers for a stopped incarnation.
struct successor_entry {
    std::string vm;
    common::endpoint address; // its peer address
    submission::incarnation incarnation;

    bool operator==(const successor_entry&) const = default;
};

struct successor_notice {
    submission::incarnation stopped;
    successor_entry successor;
    common::milliseconds lifetime{0}; // of the last id that the stopped incarnation issued

    bool operator==(const successor_notice&) const = default;
};

// Makes the snapshot of a home that has been closed.
home_snapshot make_snapshot(const submission::issuer& ids, const submission::ledger& closed,
                            common::time_point now);

} // namespace savorytrail::handover
