// Tracks which kinds of tasks run beside each run on its executor. Only the first quarter of the
// expected duration counts: what is there at other times, or for which part of the actual duration,
// depends on that duration itself, and would show differences where there are none. A quarter, as
// predictions learnt from runs slowed three times must not exclude those that are not slowed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"
#include "core/work/executor.h"

namespace savorytrail::cell {

// Identifies a kind of tasks; the same in every process.
using kind_key = std::uint64_t;

class run_neighbours {
public:
    // What is known of a run's duration when it starts.
    struct expectation {
        common::milliseconds duration{0}; // on its executor
        common::milliseconds estimate{0}; // as the caller sent it
        double speed = 1;                 // of its executor
    };
    void add(const std::string& executor, const work::run_key& run, kind_key kind,
             const expectation& expected, common::time_point now);
    // However it ended; unknown runs are ignored.
    void remove(const std::string& executor, const work::run_key& run, common::time_point now);

    struct observation {
        kind_key kind = 0;
        expectation expected;
        bool has_passed_quarter = false;        // of the expected duration; the lists are whole
        std::vector<kind_key> neighbours;       // those beside it for nearly all of this quarter
        std::vector<kind_key> brief_neighbours; // those beside it for a part of this quarter
    };
    // What ran beside a run that ends now; `kind` is 0 for an unknown run.
    observation observe(const std::string& executor, const work::run_key& run,
                        common::time_point now) const;

    // The kinds of the runs there, one for each run.
    std::vector<kind_key> kinds_on(const std::string& executor) const;

private:
    struct neighbour {
        kind_key kind = 0;
        int runs = 0; // at present
        common::time_point since;
        common::time_point::duration total{0}; // without the time since `since`
    };
    struct tracked_run {
        work::run_key key;
        kind_key kind = 0;
        expectation expected;
        common::time_point started;
        common::time_point quarter; // of the expected duration
        std::vector<neighbour> neighbours;
    };

    static void begin(tracked_run& it, kind_key beside, common::time_point now);
    static void end(tracked_run& it, kind_key beside, common::time_point now);

    absl::flat_hash_map<std::string, std::vector<tracked_run>> m_executors; // with runs only
};

} // namespace savorytrail::cell
