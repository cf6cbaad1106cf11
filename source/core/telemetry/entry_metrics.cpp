// Names, help texts and buckets of an entry's metrics.
#include "core/telemetry/entry_metrics.h"

#include <algorithm>

namespace savorytrail::telemetry {
namespace {

enum family_index : std::size_t {
    answers,
    tasks,
    forwarded,
    messages,
    response_seconds,
    response_over_ideal,
};

// Times are whole milliseconds; a shorter ideal time counts as one, which keeps the ratio finite.
constexpr std::chrono::milliseconds min_ideal{1};

std::vector<family> make_families() {
    return {
        {"savory_answers_total", "Answers by state and reason.", metric_kind::counter, {}},
        {"savory_tasks_total",
         "Requests to executors by how they ended.",
         metric_kind::counter,
         {}},
        {"savory_forwarded_requests_total",
         "Callers' requests sent on to another entry.",
         metric_kind::counter,
         {}},
        {"savory_messages_total", "Messages sent by kind.", metric_kind::counter, {}},
        {"savory_response_seconds",
         "Time of complete answers at their home.",
         metric_kind::histogram,
         {0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30, 60}},
        {"savory_response_over_ideal_ratio",
         "Time of complete answers at their home over the longest of their tasks' own times.",
         metric_kind::histogram,
         {1.05, 1.1, 1.2, 1.3, 1.4, 1.5, 1.75, 2, 2.5, 3, 4, 5, 10, 20, 50, 100}},
    };
}

double seconds(std::chrono::milliseconds it) {
    return std::chrono::duration<double>(it).count();
}

} // namespace

entry_metrics::entry_metrics() : m_registry(make_families()) {}

void entry_metrics::count_answer(std::string_view state, std::string_view reason) {
    m_registry.add(answers, {{"state", std::string(state)}, {"reason", std::string(reason)}});
}

void entry_metrics::observe_response(std::chrono::milliseconds response,
                                     std::chrono::milliseconds ideal) {
    m_registry.observe(response_seconds, {}, seconds(response));
    m_registry.observe(response_over_ideal, {},
                       seconds(response) / seconds(std::max(ideal, min_ideal)));
}

void entry_metrics::count_task_end(std::string_view end) {
    m_registry.add(tasks, {{"end", std::string(end)}});
}

void entry_metrics::count_forwarded() {
    m_registry.add(forwarded, {});
}

void entry_metrics::count_message(std::string_view kind) {
    m_registry.add(messages, {{"kind", std::string(kind)}});
}

} // namespace savorytrail::telemetry
