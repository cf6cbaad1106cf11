// The plain model that a fleet is checked against: what was submitted, started and said.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/job/job.h"
#include "core/peer/types.h"

namespace savorytrail::fleet {

// How often things happened over all sequences, so that a run that proves nothing is noticed.
struct tally {
    int starts = 0;
    int complete = 0;
    int failed = 0;
    int refused = 0;
    int home_dead = 0;
    int expired = 0;
    int inherited = 0;
    int claimed_again = 0;
};

class oracle {
public:
    oracle(const common::clock& clock, common::milliseconds lifetime)
        : m_clock(clock), m_lifetime(lifetime) {}

    void issued(const submission::submission_id& id) { m_records[id].issued = m_clock.now(); }
    void submitted(const submission::submission_id& id, const job::job& job);
    // An executor began a task.
    void started(const submission::submission_id& id, const job::job& job, std::uint32_t task);
    // An entry told anyone something. `asked` is the job of a submission, otherwise null.
    void said(const submission::submission_id& id, const job::job* asked,
              const peer::forward_result& result);
    // A client key was found to stand for an id.
    void claimed(const std::string& key, const submission::submission_id& id);

    void answered_by_heir() { m_tally.inherited++; }

    // Empty while every rule holds.
    const std::string& violation() const { return m_violation; }
    const tally& counts() const { return m_tally; }

private:
    struct record {
        common::time_point issued;
        std::vector<job::job> jobs; // submitted under the id
        std::map<std::uint32_t, int> starts;
        std::set<std::uint32_t> not_run;         // said of these tasks
        bool is_refused = false;                 // said of the whole submission
        std::optional<job::answer> final_answer; // the home's or its heir's
    };

    void check_shape(const job::answer& it, const job::job* asked);
    void check_results(const record& about, const job::answer& it, const job::job* asked);
    void check_not_run(record& about, const job::answer& it);
    void check_final(record& about, const job::answer& it);
    void count(const job::answer& it);
    void broken(const std::string& rule);

    const common::clock& m_clock;
    const common::milliseconds m_lifetime;
    std::map<submission::submission_id, record> m_records;
    std::map<std::string, submission::submission_id> m_keys;
    std::string m_violation;
    tally m_tally;
};

// What a right executor answers.
std::string echo(const job::task& task);

} // namespace savorytrail::fleet
