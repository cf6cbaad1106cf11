// Submissions taken over from stopped entries. This entry answers for them but starts none of their
// remaining tasks.
#pragma once

#include <mutex>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"
#include "core/handover/types.h"
#include "core/home/home.h"

namespace savorytrail::handover {

struct inherited_submissions_limits {
    std::size_t max_bytes = 64 << 20; // of the answers taken over

    bool operator==(const inherited_submissions_limits&) const = default;
};

class inherited_submissions {
public:
    inherited_submissions(const common::clock& clock, inherited_submissions_limits limits)
        : m_clock(clock), m_limits(limits) {}
    inherited_submissions(const inherited_submissions&) = delete;
    inherited_submissions& operator=(const inherited_submissions&) = delete;

    // Takes over all snapshots or none; one that is already held is ignored. False when the memory
    // limit would be exceeded or close() has been called.
    bool accept(const std::vector<home_snapshot>& snapshots);

    // Makes accept() refuse from now on, so that a copy from snapshots() stays complete.
    void close();

    bool holds(const submission::incarnation& home) const;

    // nullopt when the id's home has not been taken over. `submitted` is the job of a submission,
    // otherwise null.
    std::optional<home::request_result> answer(const submission::submission_id& id,
                                               const job::job* submitted) const;

    // Everything held, with the remaining lifetimes.
    std::vector<home_snapshot> snapshots() const;

    // Removes homes whose last id has expired. Returns their client keys, for the caller to delete
    // the rows.
    std::vector<claim::claimed_key> forget_expired();

    std::size_t bytes() const;

private:
    struct inherited_home {
        submission::issuer_credentials credentials;
        common::time_point accepted_at;
        absl::flat_hash_map<submission::submission_id, inherited_record> records;
        std::vector<claim::claimed_key> keys;
        std::size_t bytes = 0;

        common::time_point expiry(const submission::submission_id& id) const;
        common::time_point end() const { return accepted_at + credentials.lifetime; }
    };

    home::request_result answer_from(const inherited_home& it, const submission::submission_id& id,
                                     const job::job* submitted) const;

    const common::clock& m_clock;
    const inherited_submissions_limits m_limits;
    mutable std::mutex m_mutex;
    absl::flat_hash_map<submission::incarnation, inherited_home> m_homes; // guarded by m_mutex
    std::size_t m_bytes = 0;                                              // guarded by m_mutex
    bool m_is_closed = false;                                             // guarded by m_mutex
};

} // namespace savorytrail::handover
