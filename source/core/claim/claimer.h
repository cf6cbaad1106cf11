// Claims client keys for concurrent submissions. One thread resolves all pending claims in one
// transaction, so that the number of writes to the table does not grow with the submissions.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "core/claim/claimed_key.h"
#include "core/claim/resolve_claims.h"
#include "core/common/clock.h"

namespace savorytrail::claim {

struct claimer_limits {
    common::milliseconds min_interval{50}; // between two transactions
    std::size_t max_batch = 200;           // rows of one transaction
    std::size_t max_waiting = 4096;        // claims; further ones fail as unavailable immediately

    bool operator==(const claimer_limits&) const = default;
};

class claimer {
public:
    claimer(platform::table& table, const common::clock& clock, claimer_limits limits);
    ~claimer();
    claimer(const claimer&) = delete;
    claimer& operator=(const claimer&) = delete;

    // Waits for the row of the key. Fails with error::unavailable if it is not known within the
    // timeout; the claim may still take effect, and a later claim then finds its row.
    common::result<resolved_claim> claim(pending_claim wanted, common::milliseconds timeout);

    // Deletes the row after `expiry`, when certainly nothing more can start under its id, in one
    // transaction with others. Deletions stay pending while the table is unreachable, up to
    // max_pending_deletions.
    void delete_after(common::time_point expiry, const claimed_key& row);

    // Removes and returns the rows whose deletion is pending, for the successor.
    std::vector<claimed_key> take_pending_deletions();

    static constexpr std::size_t max_pending_deletions = 200000;

private:
    using deletion = std::pair<common::time_point, claimed_key>;

    struct queued_claim {
        pending_claim wanted;
        std::promise<common::result<resolved_claim>> resolved;
    };

    void run();
    std::vector<queued_claim> next_batch();
    void resolve_batch(std::vector<queued_claim> batch);
    void delete_expired();
    std::vector<deletion> due_deletions();

    platform::table& m_table;
    const common::clock& m_clock;
    const claimer_limits m_limits;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<queued_claim> m_queue; // guarded by m_mutex
    std::set<deletion> m_deletions;   // guarded by m_mutex
    bool m_is_stopping = false;       // guarded by m_mutex
    std::thread m_thread;
};

} // namespace savorytrail::claim
