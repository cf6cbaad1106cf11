// Finds the entry that answers for a stopped incarnation: from announcements of peers, else from
// the row that the stopping entry wrote to the platform's table.
#pragma once

#include <mutex>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"
#include "core/handover/types.h"
#include "core/platform/platform.h"

namespace savorytrail::handover {

class successor_registry {
public:
    successor_registry(platform::table& table, const common::clock& clock)
        : m_table(table), m_clock(clock) {}
    successor_registry(const successor_registry&) = delete;
    successor_registry& operator=(const successor_registry&) = delete;

    // Records announcements of a peer; a later one replaces an earlier one.
    void announce(const std::vector<successor_notice>& notices);

    std::optional<successor_entry> known(const submission::incarnation& stopped);

    // Like known(), but reads the row if nothing is cached. A missing row is cached for one second.
    std::optional<successor_entry> look_up(const submission::incarnation& stopped);

    // Writes a row for each notice and deletes the rows whose last id expired more than a day ago.
    // This is the only decision that depends on the wall clock.
    common::result<void> publish(const std::vector<successor_notice>& notices,
                                 std::chrono::system_clock::time_point wall_time);

    void forget_expired();

private:
    struct cached_successor {
        std::optional<successor_entry> successor; // nullopt when the table has no row
        common::time_point expiry;
    };

    void remember(const submission::incarnation& stopped, cached_successor it);

    platform::table& m_table;
    const common::clock& m_clock;
    std::mutex m_mutex;
    absl::flat_hash_map<submission::incarnation, cached_successor> m_cache; // guarded by m_mutex
};

} // namespace savorytrail::handover
