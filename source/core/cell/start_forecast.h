// Predicts when waiting tasks can start, by when the runs on the executors are expected to end.
// Load pattern: a burst in which all executors are in use. Whether a job with little slack can be
// on time depends on how soon enough executors become free at once, which the amount of waiting
// work does not tell.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/cell/executor_record.h"
#include "core/cell/job_record.h"

namespace savorytrail::cell {

// Tasks are placed one after another, the ones that go first first, each where it starts soonest.
class start_forecast {
public:
    start_forecast(const executor_map& executors, common::time_point now);

    // Places tasks of the step; returns when the last of them starts, from now. nullopt if that is
    // not known: no executor that takes work now is large enough, or too many tasks wait.
    std::optional<common::milliseconds> place(const work::step& step, const std::string& upstream,
                                              int tasks);

private:
    // Resources that become free when a run ends.
    struct release {
        common::milliseconds at{0};
        work::resources resources;
    };
    struct executor {
        const work::executor_info* info = nullptr;
        work::resources free;
        common::milliseconds free_at{0}; // tasks placed from now on start no sooner
        std::vector<release> releases;   // by time
        bool takes_one = false;          // runs one task at a time
    };

    static std::optional<common::milliseconds> time_to_room(const executor& it,
                                                            const work::resources& needed);
    static void occupy(executor& it, common::milliseconds at, const work::step& step);

    std::vector<executor> m_executors;
    int m_placed = 0;
};

// When the last task of those that depend on no others could start, from now, if the jobs `ahead`
// get executors first. nullopt if that is not known.
std::optional<common::milliseconds> forecast_start(const job_record& candidate,
                                                   const std::vector<const job_record*>& ahead,
                                                   const executor_map& executors,
                                                   common::time_point now);

} // namespace savorytrail::cell
