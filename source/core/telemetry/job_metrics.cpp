#include "core/telemetry/job_metrics.h"

namespace savorytrail::telemetry {
namespace {

enum family_index : std::size_t { answers, events, stops, refusals, holds, losses };

std::vector<family> make_families() {
    return {
        {"savory_job_response_seconds",
         "Time from a job's arrival to its answer, by how it ended.",
         metric_kind::histogram,
         {0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5}},
        {"savory_events_total",
         "Decisions and changes of belief, by their name in the log.",
         metric_kind::counter,
         {}},
        {"savory_runs_stopped_seconds",
         "Time from a job's closing to the end of its last run, of jobs with runs to stop.",
         metric_kind::histogram,
         {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1, 1.3, 2, 5}},
        {"savory_refusals_total",
         "Refusals of jobs that had not run, by cause; one for each cell that refused a job.",
         metric_kind::counter,
         {}},
        {"savory_job_held_back_seconds",
         "Time for which a job was held back, by the priority that it left capacity to.",
         metric_kind::histogram,
         {0.02, 0.04, 0.08, 0.15, 0.3, 0.5, 1, 2}},
        {"savory_lost_runs_total",
         "Runs of open jobs that were lost, by cause.",
         metric_kind::counter,
         {}},
    };
}

} // namespace

job_metrics::job_metrics() : m_registry(make_families()) {}

void job_metrics::observe_answer(std::string_view end, std::chrono::milliseconds response) {
    m_registry.observe(answers, {{"end", std::string(end)}},
                       std::chrono::duration<double>(response).count());
}

void job_metrics::observe_runs_stopped(std::chrono::milliseconds after) {
    m_registry.observe(stops, {}, std::chrono::duration<double>(after).count());
}

void job_metrics::observe_hold(int for_priority, std::chrono::milliseconds held) {
    m_registry.observe(holds, {{"for_priority", std::to_string(for_priority)}},
                       std::chrono::duration<double>(held).count());
}

void job_metrics::count_event(std::string_view event) {
    m_registry.add(events, {{"event", std::string(event)}});
}

void job_metrics::count_lost_run(std::string_view cause) {
    m_registry.add(losses, {{"cause", std::string(cause)}});
}

void job_metrics::count_refusal(std::string_view cause) {
    m_registry.add(refusals, {{"cause", std::string(cause)}});
}

} // namespace savorytrail::telemetry
