// The part of executor_manager that recognizes that an executor's process has ended. A connection
// that breaks, and a new one that is refused at once, tell so within milliseconds. Silence does
// not: the executor may be frozen, cut off or slow. The runs are counted as ended only when their
// leases have expired, since a network that refuses connections looks the same.
#include <algorithm>

#include "core/cell/executor_manager.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using work::order_status;

// A connection refused later than this after one broke is not taken for the same event.
constexpr milliseconds max_time_to_refusal{500};

} // namespace

void executor_manager::note_contact(executor_record& it, order_status status) {
    const auto now = m_clock.now();
    if (status == order_status::connection_lost) {
        it.connection_lost_at = it.connection_lost_at.value_or(now);
        return;
    }
    if (status != order_status::connection_refused) {
        return;
    }
    const bool has_just_broken =
        it.connection_lost_at && now - *it.connection_lost_at <= max_time_to_refusal;
    if (has_just_broken && !it.info.is_draining) {
        note_crash(it, *it.connection_lost_at);
    }
}

void executor_manager::note_crash(executor_record& it, common::time_point at) {
    if (std::exchange(it.has_crashed, true)) {
        return;
    }
    executor_crash crash{it.info.id, it.start_time_ms, {}};
    for (const auto& [key, run] : it.runs) {
        const auto age = std::chrono::duration_cast<milliseconds>(at - run.started_at);
        const bool was_isolated = run.isolated_until && it.runs.size() == 1;
        crash.runs.push_back({key, std::max(age, milliseconds(0)), was_isolated});
    }
    m_observer.executor_changed(it.info.id, "executor_crashed", describe(crash));
    m_listener->on_executor_crashed(crash);
}

void executor_manager::note_crash_refuted(executor_record& it) {
    it.has_crashed = false;
    m_observer.executor_changed(it.info.id, "executor_crash_refuted",
                                "the same process answers again");
    m_listener->on_crash_refuted(it.info.id, it.start_time_ms);
}

bool executor_manager::has_outlasted_isolation(const std::string& executor,
                                               const work::run_key& run) const {
    const auto at = m_executors.find(executor);
    if (at == m_executors.end()) {
        return false;
    }
    const auto& it = *at->second;
    const auto found = it.runs.find(run);
    return found != it.runs.end() && found->second.state == run_state::running &&
           m_clock.now() >= found->second.isolated_until && !it.is_unresponsive() &&
           !it.connection_lost_at;
}

void executor_manager::note_answer(executor_record& it) {
    it.connection_lost_at.reset();
    it.has_crashed = false;
}

} // namespace savorytrail::cell
