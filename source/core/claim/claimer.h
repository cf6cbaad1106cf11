// Claims client keys for concurrent submissions: one thread gathers what has come in and settles it
// in one transaction, so that the store's writes do not grow with the submissions.
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
    std::size_t max_waiting = 4096;        // claims; further ones are unavailable at once

    bool operator==(const claimer_limits&) const = default;
};

class claimer {
public:
    claimer(platform::table& table, const common::clock& clock, claimer_limits limits);
    ~claimer();
    claimer(const claimer&) = delete;
    claimer& operator=(const claimer&) = delete;

    // Waits for the row that stands for the key; error::unavailable when that is not known within
    // the timeout. The claim may take effect all the same, and a later one then finds it.
    common::result<resolved_claim> claim(pending_claim wanted, common::milliseconds timeout);

    // Deletes the row after `expiry`, when its id has expired for certain, together with others in
    // one transaction. Rows wait while the table is out of reach, at most max_pending_deletions of
    // them.
    void delete_after(common::time_point expiry, const claimed_key& row);

    // The rows that wait for their deletion, for the heir.
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
