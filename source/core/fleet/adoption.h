// Decides when this entry may adopt the executors of failure domains that have no live entry.
//
// A domain whose entries have failed can't be told from a partitioned domain, whose entries are
// running and still use their executors. Those entries must keep the executors, also when the
// partition heals. An executor is therefore adopted only when
//  - no entry of its domain has been live in this entry's view for a while;
//  - it has answered this entry's probes for a while: if the domains had been partitioned, the
//    partition would be over, and heartbeats of the domain's entries would have arrived;
//  - the platform's table, read since then, shows no activity of the domain's entries: an entry
//    that hears no entry of some domain updates its own row there to show that it is running;
//  - an executor of the domain, claimed on trial, was idle and was not claimed back.
// Adopted executors are released as soon as an entry of their domain is live, updates its row, or
// claims an executor back. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/fleet/view.h"
#include "core/work/executor.h"

namespace savorytrail::fleet {

struct adoption_limits {
    // Time without a live entry after which a domain counts as abandoned.
    common::milliseconds orphan_timeout{1500};
    // How long an executor of such a domain must have answered probes. Longer than entries that can
    // reach each other again take to exchange heartbeats.
    common::milliseconds min_reachable_time{1600};
    common::milliseconds probe_interval{400};
    // How often the platform's table is read, and this entry's own row is updated.
    common::milliseconds table_read_interval{1000};
    // How long a domain counts as alive after a change of a row of one of its entries.
    common::milliseconds row_change_validity{3000};
    // The same after an executor was in use or was claimed back. Longer, since only the domain's
    // entries, which can't be heard, could tell that they have stopped.
    common::milliseconds other_use_validity{10000};
    std::size_t max_trials = 1; // executors of a domain claimed on trial at a time
    common::milliseconds trial_time{400};

    bool operator==(const adoption_limits&) const = default;
};

class adoption {
public:
    explicit adoption(adoption_limits limits = {}) : m_limits(limits) {}

    void set_listed_executors(const std::vector<work::executor_info>& executors);
    // Determines which domains are orphaned and which of their executors this entry may adopt. To
    // be called often.
    void update(const view& fleet, common::time_point now);

    // Whether some domain has no live entry. This entry then has to update its own row and to read
    // the rows of the others.
    bool has_orphaned_domains() const { return !m_orphaned_since.empty(); }
    bool has_candidates() const { return !m_candidates.empty(); }
    // Whether both are due now; if so, they count as done.
    bool take_due_table_read(common::time_point now);
    // The row of an entry, as read or changed. The first version seen is no evidence that the entry
    // is running now.
    void note_entry_row(const std::string& entry, const std::string& domain, std::uint64_t version,
                        common::time_point now);
    // The platform's table was read in its state of `as_of` or later.
    void note_table_read(common::time_point as_of) { m_last_table_read = as_of; }

    // Executors to probe now; they count as probed.
    std::vector<work::executor_info> take_due_probes(common::time_point now);
    void note_probe_answered(const std::string& executor, common::time_point now);
    // This entry now holds the executor.
    void note_held(const std::string& executor, common::time_point now);
    // Another entry uses an executor of the domain that this entry had adopted.
    void note_used_by_other(const std::string& domain, common::time_point now);

    // Executors to hold in addition to those of the own domain. `held_here`: those held already.
    std::vector<work::executor_info> adopted_executors(const view& fleet,
                                                       const std::set<std::string>& held_here,
                                                       common::time_point now) const;

private:
    struct candidate {
        work::executor_info info;
        std::uint64_t key = 0; // executor_key()
        std::optional<common::time_point> last_probed;
        std::optional<common::time_point> reachable_since; // start of the current run of answers
        std::optional<common::time_point> last_answered;
        std::optional<common::time_point> held_since;
    };

    void choose_candidates(const view& fleet, common::time_point now);
    bool is_abandoned(const std::string& domain, common::time_point now) const;
    bool is_reachable(const candidate& it, common::time_point now) const;
    bool may_be_claimed(const candidate& it, common::time_point now) const;
    std::set<std::string> domains_past_trial(common::time_point now) const;

    const adoption_limits m_limits;
    std::map<std::string, std::vector<work::executor_info>> m_listed_executors; // by domain
    std::map<std::string, common::time_point> m_orphaned_since;                 // by domain
    std::map<std::string, candidate> m_candidates;                              // by executor
    std::map<std::string, std::uint64_t> m_row_versions;                        // by entry
    std::map<std::string, common::time_point> m_presumed_alive_until;           // by domain
    std::optional<common::time_point> m_last_table_read;
    std::optional<common::time_point> m_table_read_requested;
};

} // namespace savorytrail::fleet
