// One caller's persistent connection to an entry, and the submission ids that this entry issued.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "core/http/client.h"
#include "stand_ins/callers/answer_check.h"
#include "stand_ins/callers/options.h"
#include "stand_ins/callers/report.h"

namespace savorytrail::stand_ins {

// Not thread-safe.
class session {
public:
    // Uses the entry with index `entry` (modulo their number) until the first failover.
    session(const load_options& options, std::size_t entry, message_counts& messages);

    // Returns an id that the current entry issued, or "" when all attempts to fetch one failed.
    std::string take_id();
    // Fetches ids when none are left, so that the next job does not wait for them.
    void prepare();
    // Submits until the answer is final or unsound, or the attempts are used up. Fails over to the
    // next entry after an attempt without an answer.
    checked_answer submit(const generated_job& job, const std::string& id);
    void cancel(const std::string& id);

private:
    void connect();
    void fail_over();
    bool fetch_ids();
    checked_answer try_submit(const generated_job& job, const std::string& id);

    const load_options& m_options;
    message_counts& m_messages;
    std::size_t m_entry;
    std::unique_ptr<http::client> m_client;
    std::vector<std::string> m_ids;
};

} // namespace savorytrail::stand_ins
