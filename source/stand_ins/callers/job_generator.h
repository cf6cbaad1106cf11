// Makes jobs from a seed. Every task body is different from all others of the run.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "stand_ins/callers/options.h"

namespace savorytrail::stand_ins {

struct generated_job {
    std::string text;                       // as sent to an entry
    std::vector<std::string> bodies;        // of its tasks
    common::milliseconds ideal_response{0}; // service time of its longest task

    bool operator==(const generated_job&) const = default;
};

class job_generator {
public:
    job_generator(job_options options, std::uint64_t seed)
        : m_options(std::move(options)), m_engine(seed) {}

    generated_job next();
    // Time from one arrival to the next of a Poisson process.
    common::time_point::duration next_gap(double arrivals_per_second);
    // True with the given probability.
    bool draw(double probability);
    // Evenly distributed from 0 to the max.
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
