// The estates that this entry has taken over. It answers for them and never starts anything.
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

    // Takes over all of them or none. Taking one over again changes nothing. False when memory is
    // full or close() was called.
    bool accept(const std::vector<home_snapshot>& snapshots);

    // From now on nothing is taken over, so that estates() stays complete.
    void close();

    bool holds(const submission::incarnation& home) const;

    // nullopt when this entry is not the heir of the id's home. `submitted` is the job of a
    // submission, otherwise null.
    std::optional<home::request_result> answer(const submission::submission_id& id,
                                               const job::job* submitted) const;

    // All that is held, with the lifetimes that remain.
    std::vector<home_snapshot> snapshots() const;

    // Forgets estates whose last id has expired, and returns the rows of their client keys.
    std::vector<claim::claimed_key> forget_expired();

    std::size_t bytes() const;

private:
    struct holding {
        submission::issuing_range range;
        common::time_point accepted;
        absl::flat_hash_map<submission::submission_id, inherited_record> records;
        std::vector<claim::claimed_key> keys;
        std::size_t bytes = 0;

        common::time_point expiry(const submission::submission_id& id) const;
        common::time_point end() const { return accepted + range.lifetime; }
    };

    home::request_result answer_from(const holding& it, const submission::submission_id& id,
                                     const job::job* submitted) const;

    const common::clock& m_clock;
    const inherited_submissions_limits m_limits;
    mutable std::mutex m_mutex;
    absl::flat_hash_map<submission::incarnation, holding> m_holdings; // guarded by m_mutex
    std::size_t m_bytes = 0;                                          // guarded by m_mutex
    bool m_is_closed = false;                                         // guarded by m_mutex
};

} // namespace savorytrail::handover
