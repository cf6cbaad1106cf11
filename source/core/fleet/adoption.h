// Executors of failure domains that no entry lives in any more: when this entry may use them.
//
// From here, a domain whose entries have died looks like one that is cut off, whose entries work on
// with their executors. Those must keep them, also when the cut heals. So an executor is adopted
// only when
//  - no entry of its domain has been live here for a while;
//  - it has answered this entry for a while: a cut between the domains would have ended by then,
//    and the domain's entries would have been heard;
//  - the platform's table, read since, shows that none of the domain's entries lives: an entry that
//    misses a whole domain says there that it lives itself;
//  - an executor of the domain, claimed on trial, ran nothing and was not claimed back.
// It is given up as soon as an entry of its domain is live, says so, or claims an executor back.
// Used on one thread.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/fleet/view.h"

namespace savorytrail::fleet {

struct adoption_limits {
    // Without a live entry, before a domain counts as left.
    common::milliseconds orphan_timeout{1500};
    // How long an executor of such a domain must have answered. Longer than entries that hear each
    // other again take to say so.
    common::milliseconds min_reachable_time{1600};
    common::milliseconds probe_interval{400};
    common::milliseconds table_read_interval{
        1000}; // of the platform's table, and of this entry's own sign
    common::milliseconds row_change_validity{3000}; // how long a sign of life counts
    // The same for an executor that was in use, or was claimed back: only its entries, which can't
    // be heard, could tell that they have gone.
    common::milliseconds other_use_validity{10000};
    std::size_t max_trials = 1; // executors of a domain
    common::milliseconds trial_time{400};

    bool operator==(const adoption_limits&) const = default;
};

class adoption {
public:
    explicit adoption(adoption_limits limits = {}) : m_limits(limits) {}

    void set_listed_executors(const std::vector<work::executor_info>& executors);
    // To be called often: which domains are left, and which of their executors would be this
    // entry's.
    void update(const view& fleet, common::time_point now);

    // Whether some domain misses its entries, so that this entry is to say that it lives, and to
    // read what others say.
    bool has_orphaned_domains() const { return !m_orphaned_since.empty(); }
    bool has_candidates() const { return !m_candidates.empty(); }
    // Whether it is time for both. Counts as done.
    bool take_due_table_read(common::time_point now);
    // The row of an entry, as read or changed. Its first version seen says nothing of the present.
    void note_entry_row(const std::string& entry, const std::string& domain, std::uint64_t version,
                        common::time_point now);
    // The table has been read as it was at `as_of` or later.
    void note_table_read(common::time_point as_of) { m_last_table_read = as_of; }

    // Executors to look at now. Counts as done.
    std::vector<work::executor_info> take_due_probes(common::time_point now);
    void note_probe_answered(const std::string& executor, common::time_point now);
    // This entry holds the executor.
    void note_held(const std::string& executor, common::time_point now);
    // An executor of the domain that this entry had adopted is used by another.
    void note_used_by_other(const std::string& domain, common::time_point now);

    // Executors to hold beside those of the own domain. `held_here`: those held already.
    std::vector<work::executor_info> adopted_executors(const view& fleet,
                                                       const std::set<std::string>& held_here,
                                                       common::time_point now) const;

private:
    struct candidate {
        work::executor_info info;
        std::optional<common::time_point> last_probed;
        std::optional<common::time_point> reachable_since; // of an unbroken row of answers
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
    std::map<std::string, std::uint64_t> m_row_versions; // versions, by entry
    std::map<std::string, common::time_point>
        m_presumed_alive_until; // how long they count, by domain
    std::optional<common::time_point> m_last_table_read;
    std::optional<common::time_point> m_table_read_requested;
};

} // namespace savorytrail::fleet
