// Test oracle of the fleet fuzzer: records what was submitted, started and answered, and checks the
// fleet's guarantees against it.
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

// Counts of outcomes over all sequences, so that a run that covers too little is detected.
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
    // An executor started a task.
    void started(const submission::submission_id& id, const job::job& job, std::uint32_t task);
    // An entry sent an answer. `submitted_job` is the job of a submission, null for other requests.
    void answered(const submission::submission_id& id, const job::job* submitted_job,
                  const peer::forward_result& result);
    // A client key was resolved to an id.
    void claimed(const std::string& key, const submission::submission_id& id);

    void answered_by_successor() { m_tally.inherited++; }

    // Description of the first violation; empty if there is none.
    const std::string& violation() const { return m_violation; }
    const tally& counts() const { return m_tally; }

private:
    struct record {
        common::time_point issued;
        std::vector<job::job> jobs; // submitted under the id
        std::map<std::uint32_t, int> starts;
        std::set<std::uint32_t> not_run;         // tasks reported as not run
        bool is_refused = false;                 // the whole submission was reported as refused
        std::optional<job::answer> final_answer; // from the home or its successor
    };

    void check_shape(const job::answer& it, const job::job* submitted_job);
    void check_results(const record& record_of_id, const job::answer& it,
                       const job::job* submitted_job);
    void check_not_run(record& record_of_id, const job::answer& it);
    void check_final(record& record_of_id, const job::answer& it);
    void count(const job::answer& it);
    void report_violation(const std::string& rule);

    const common::clock& m_clock;
    const common::milliseconds m_lifetime;
    std::map<submission::submission_id, record> m_records;
    std::map<std::string, submission::submission_id> m_keys;
    std::string m_violation;
    tally m_tally;
};

// The body with which a correct executor answers.
std::string echo(const job::task& task);

} // namespace savorytrail::fleet
