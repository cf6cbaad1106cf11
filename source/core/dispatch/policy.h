// Policies of a queue: in which order jobs are served, and on which executor a task is placed. Each
// is a type that satisfies a concept, so that baselines run the same code as the standard policy.
#pragma once

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/common/clock.h"

namespace savorytrail::dispatch {

// Properties of a job that an order may use.
struct job_view {
    common::time_point arrived;
    common::time_point deadline;
    common::milliseconds waiting_work{0}; // sum over the waiting tasks
};

// Properties of an executor that a placement may use.
struct executor_view {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    bool is_borrowed = false; // all its slots are borrowed
    bool is_suspect = false;  // a task that runs on it is overdue

    bool is_free() const { return running < slots; }
};

// key() ranks jobs: the lowest is served first. A key is a number of nanoseconds and must not
// depend on the current time.
template <typename T>
concept job_order = requires(const T order, const job_view& view) {
    { order.key(view) } -> std::same_as<std::int64_t>;
};

// choose() returns the index of a free executor, or the number of executors when none is free. The
// executor at index `avoided` is chosen only when no other is free.
template <typename T>
concept placement = requires(T it, const std::vector<executor_view>& executors,
                             std::size_t avoided) {
    { it.choose(executors, avoided) } -> std::same_as<std::size_t>;
};

inline std::int64_t nanoseconds_of(common::time_point it) {
    return std::chrono::nanoseconds(it.time_since_epoch()).count();
}

// Jobs in order of arrival.
struct arrival_order {
    std::int64_t key(const job_view& view) const { return nanoseconds_of(view.arrived); }
};

// The job with the earliest deadline first.
struct deadline_order {
    std::int64_t key(const job_view& view) const { return nanoseconds_of(view.deadline); }
};

// The job with the least waiting work first, without ageing.
struct least_work_order {
    std::int64_t key(const job_view& view) const {
        return std::chrono::nanoseconds(view.waiting_work).count();
    }
};

// Least waiting work first, with ageing: the key is the arrival time plus the waiting work, so that
// a job is overtaken only by jobs that arrived before that time.
struct aged_least_work_order {
    std::int64_t key(const job_view& view) const {
        const std::chrono::nanoseconds work = view.waiting_work;
        return nanoseconds_of(view.arrived) + work.count();
    }
};

// The executor with the smallest share of its slots in use. Own executors are preferred to borrowed
// ones, so that loans that are no longer needed become idle; suspect ones come last.
struct least_loaded_placement {
    std::size_t choose(const std::vector<executor_view>& executors, std::size_t avoided) const {
        std::size_t best = executors.size();
        for (std::size_t i = 0; i < executors.size(); i++) {
            const auto& it = executors[i];
            if (!it.is_free() || i == avoided)
                continue;
            if (best == executors.size() || is_better(it, executors[best]))
                best = i;
        }
        const bool only_avoided = best == executors.size() && avoided < executors.size();
        return only_avoided && executors[avoided].is_free() ? avoided : best;
    }

private:
    static bool is_better(const executor_view& a, const executor_view& b) {
        if (a.is_suspect != b.is_suspect)
            return b.is_suspect;
        if (a.is_borrowed != b.is_borrowed)
            return b.is_borrowed;
        return std::uint64_t{a.running} * b.slots < std::uint64_t{b.running} * a.slots;
    }
};

// A random free executor.
struct random_placement {
    std::uint64_t state = 1;

    std::size_t choose(const std::vector<executor_view>& executors, std::size_t) {
        std::vector<std::size_t> free;
        for (std::size_t i = 0; i < executors.size(); i++) {
            if (executors[i].is_free())
                free.push_back(i);
        }
        if (free.empty())
            return executors.size();
        constexpr std::uint64_t multiplier = 6364136223846793005;
        state = state * multiplier + 1;
        return free[(state >> 33) % free.size()];
    }
};

} // namespace savorytrail::dispatch
