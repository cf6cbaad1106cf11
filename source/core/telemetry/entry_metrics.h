// The metrics of an entry (docs/METRICS.md).
#pragma once

#include <chrono>
#include <string_view>

#include "core/telemetry/registry.h"

namespace savorytrail::telemetry {

class entry_metrics {
public:
    entry_metrics();

    // A submission ended at its home entry, or a caller got an answer that is not from that entry.
    void count_answer(std::string_view state, std::string_view reason);
    // A complete answer. `response` is the time since the job arrived at its home entry; `ideal` is
    // the longest time that one of its tasks took at its executor, a lower bound for any schedule.
    void observe_response(std::chrono::milliseconds response, std::chrono::milliseconds ideal);
    void count_task_end(std::string_view end);
    void count_forwarded();
    void count_message(std::string_view kind);

    void write(exposition& out) const { m_registry.write(out); }

private:
    registry m_registry;
};

} // namespace savorytrail::telemetry
