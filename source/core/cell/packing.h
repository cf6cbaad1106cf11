// Values free capacity by what coming tasks can use of it. On an executor with 28 free cores, tasks
// of about 36 leave them idle, so they are worth less than 28 cores; and a task is best placed
// where the least value is lost. The sizes of recent tasks stand for those of coming ones.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/cell/executor_record.h"
#include "core/common/clock.h"

namespace savorytrail::cell {

class packing {
public:
    // Records `tasks` arriving tasks of a size. Sizes larger than any executor are ignored.
    void add(std::int64_t cpu_millis, int tasks);

    // Recomputes the values if they are outdated; call it before lookups.
    void refresh(const executor_map& executors, common::time_point now);

    // Whether values are known, and tasks are large enough against executors to make a difference.
    bool is_known() const { return !m_values.empty(); }

    // The part of `free` that coming tasks are expected to use. Only if is_known().
    std::int64_t value(std::int64_t free) const;

    // The value that is lost, beyond its own size, if a task is placed where `free` is free; 0
    // while nothing is known. In steps of 1/32 of the largest size, as smaller differences are
    // noise.
    std::int64_t loss(std::int64_t free, std::int64_t size) const;

private:
    struct sample {
        std::int64_t cpu_millis = 0;
        int tasks = 0;
    };

    // About 3 s of arrivals at 100 steps a second.
    static constexpr std::size_t max_samples = 256;
    // Fewer do not show how sizes are distributed.
    static constexpr std::uint64_t min_samples = 16;

    void compute(std::int64_t largest_capacity, std::int64_t smallest_capacity);

    std::array<sample, max_samples> m_samples;
    std::uint64_t m_added = 0;          // samples, ever
    std::uint64_t m_added_computed = 0; // samples when the values were computed
    common::time_point m_computed_at;
    std::int64_t m_width = 1;           // thousandths of a core for each entry of the table
    std::int64_t m_loss_step = 1;       // thousandths of a core
    std::vector<std::int64_t> m_values; // by free capacity in units of `m_width`; empty: unknown
};

} // namespace savorytrail::cell
