// Service times of an upstream's tasks, learned from answers. Tasks are distinguished by kind: a
// hash of the path without its query. A learned time replaces the caller's estimate.
#pragma once

#include <cstdint>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"

namespace savorytrail::dispatch {

// The kind of a task with this path and query.
std::uint64_t task_kind(std::string_view path);

struct time_estimate {
    common::milliseconds typical{0};
    common::milliseconds minimum{0}; // assumed lower bound
    common::milliseconds slow_after{
        0}; // a task that takes longer is overdue; zero when not learned

    bool operator==(const time_estimate&) const = default;
};

class learned_times {
public:
    // Records the duration of a task that an executor answered.
    void record(std::uint64_t kind, common::milliseconds duration);

    // `declared` is the caller's estimate, zero when there is none.
    time_estimate estimate(std::uint64_t kind, common::milliseconds declared) const;

private:
    // Exponentially weighted mean and mean deviation.
    struct mean {
        double mean_ms = 0;
        double deviation_ms = 0;
        std::uint32_t samples = 0;

        void add(double sample_ms);
        bool is_known() const;
    };

    // Invariant: at most max_kinds entries; further kinds are counted in m_all only.
    absl::flat_hash_map<std::uint64_t, mean> m_kinds;
    mean m_all;
};

} // namespace savorytrail::dispatch
