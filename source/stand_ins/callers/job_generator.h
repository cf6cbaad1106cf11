// Generates jobs from a seed. Every task body is unique within a run, so that an answer with
// another task's result is detected.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "stand_ins/callers/options.h"

namespace savorytrail::stand_ins {

struct generated_job {
    std::string text;                       // request body
    std::vector<std::string> bodies;        // one per task
    common::milliseconds ideal_response{0}; // service time of the longest task

    bool operator==(const generated_job&) const = default;
};

class job_generator {
public:
    job_generator(job_options options, std::uint64_t seed)
        : m_options(std::move(options)), m_engine(seed) {}

    generated_job next();
    // Interarrival time of a Poisson process.
    common::time_point::duration next_gap(double arrivals_per_second);
    // Returns true with the given probability.
    bool draw(double probability);
    // Uniformly distributed from 0 to `max`.
    common::milliseconds draw_time(common::milliseconds max);

private:
    std::uint64_t draw(const number_range& range);
    std::uint64_t declared_ms(std::uint64_t service_ms);
    std::string make_body(std::size_t task);

    const job_options m_options;
    std::mt19937_64 m_engine;
    std::uint64_t m_job_count = 0;
};

} // namespace savorytrail::stand_ins
