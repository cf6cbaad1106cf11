// One caller's kept connection to an entry, with submission ids that were issued on it.
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

// For use by one thread.
class session {
public:
    // Connects to the entry of that number first.
    session(const load_options& options, std::size_t entry, message_counts& messages);

    // An id that the connected entry has issued; "" when no entry issues one.
    std::string take_id();
    // Fetches ids when there are none left, so that the next job need not wait for them.
    void prepare();
    // Submits until the answer is final or the attempts are used up. An attempt without an answer
    // is followed by one on the next entry.
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
