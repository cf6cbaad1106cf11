// Which entry answers for an incarnation that has stopped: from the announcements of peers, else
// from the row that the stopping entry wrote to the platform's table.
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

    // Takes in what a peer announced; a later announcement replaces an earlier one.
    void announce(const std::vector<successor_notice>& notices);

    std::optional<successor_entry> known(const submission::incarnation& gone);

    // As known(), else reads the row. That there was none is believed for a second.
    std::optional<successor_entry> look_up(const submission::incarnation& gone);

    // Writes a row for each notice, and deletes rows whose ids have all expired a day ago by the
    // wall clock, which decides nothing else.
    common::result<void> publish(const std::vector<successor_notice>& notices,
                                 std::chrono::system_clock::time_point wall_time);

    void forget_expired();

private:
    struct entry {
        std::optional<successor_entry> successor; // nullopt: the table had no row
        common::time_point expiry;
    };

    void remember(const submission::incarnation& gone, entry it);

    platform::table& m_table;
    const common::clock& m_clock;
    std::mutex m_mutex;
    absl::flat_hash_map<submission::incarnation, entry> m_entries; // guarded by m_mutex
};

} // namespace savorytrail::handover
