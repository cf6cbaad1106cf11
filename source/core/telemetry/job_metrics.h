// The metrics of an entry that serves caller-named jobs (docs/METRICS.md).
#pragma once

#include <chrono>
#include <string_view>

#include "core/telemetry/registry.h"

namespace savorytrail::telemetry {

class job_metrics {
public:
    job_metrics();

    // A caller's job was answered; `response` is the time since it arrived.
    void observe_answer(std::string_view end, std::chrono::milliseconds response);
    // All runs of a closed job have ended, the last one this long after the job was closed.
    void observe_runs_stopped(std::chrono::milliseconds after);
    // A job was held back for jobs of this priority until it started or was closed.
    void observe_hold(int for_priority, std::chrono::milliseconds held);
    // A decision or a state change, by its event name in the log.
    void count_event(std::string_view event);
    // A run was lost, by cause.
    void count_lost_run(std::string_view cause);
    // A cell or a gateway refused a job that had not run.
    void count_refusal(std::string_view cause);

    void write(exposition& out) const { m_registry.write(out); }

private:
    registry m_registry;
};

} // namespace savorytrail::telemetry
