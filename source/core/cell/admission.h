// Decides whether a cell takes a job: not if no executor takes work or is large enough, if the job
// could not end in time behind the jobs that go first, or if its queue has had its share under
// overload. A job that fits into room that no waiting job can use neither waits nor needs a share.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/cell/fair_admission.h"
#include "core/cell/free_room.h"
#include "core/cell/job_record.h"
#include "core/cell/retry_after.h"

namespace savorytrail::cell {

// What a cell knows when a job arrives. Work is CPU time, in thousandths of a core x milliseconds.
struct admission_view {
    double capacity = 0;     // effective, in thousandths of a core
    double work_ahead = 0;   // of waiting jobs that go before the candidate
    double work_waiting = 0; // of all waiting jobs
    bool has_fitting_executors = true;
    // Since the newest report of an executor that the capacity follows from; nullopt before any.
    std::optional<common::milliseconds> age = std::nullopt;

    bool operator==(const admission_view&) const = default;
};

// Why a job was refused, or given up before it ran.
enum class refusal_cause : std::uint8_t {
    no_executors,  // no executor takes work
    none_fits,     // no executor is large enough or has the label
    too_late,      // it could not end in time behind the jobs that go first
    late_here,     // it would be late, and other cells may take it
    share,         // overload, and its queue had its share
    late_overload, // it waited until it was late, and there was overload
    not_started,   // no executor became free in time
    patience,      // its caller's patience ended
    not_renewed,   // the entry of its caller does not confirm that the caller waits
    suspended,     // this VM stood still
    crash_risk,    // executors have crashed under one of its tasks, and no other may be risked
    no_dispatcher, // no dispatcher can be reached
    no_cell,       // no cell has room, or a backlog that the job could wait for
};

std::string_view to_string(refusal_cause cause);

struct refusal {
    refusal_cause cause = refusal_cause::no_executors;
    work::outcome outcome;
    job_room room;

    bool operator==(const refusal&) const = default;
};

// For the log: the capacity assumed, how old it is, the work, and the tasks that have room.
std::string describe(const admission_view& view, const job_room& room);

// The time in which the capacity does the work, in ms; 0 for absurd numbers.
double milliseconds_for(double work, double capacity);

class admission {
public:
    // Counts the room for the candidate; called only when it matters.
    using room_counter = std::function<job_room()>;

    explicit admission(fair_limits limits) : m_fairness(limits) {}

    // Returns why the job is refused, or nullopt if it is taken. Records its work as offered,
    // unless another cell has recorded it before.
    std::optional<refusal> check(const job_record& candidate, const admission_view& view,
                                 const room_counter& count_room, common::time_point now);
    bool is_overloaded(double capacity, common::time_point now) const {
        return m_fairness.is_overloaded(capacity, now);
    }

private:
    fair_admission m_fairness;
};

} // namespace savorytrail::cell
