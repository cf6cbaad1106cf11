// Generation of random jobs and arrival times.
#include "stand_ins/callers/job_generator.h"

#include <algorithm>
#include <cmath>

#include "nlohmann/json.hpp"

namespace savorytrail::stand_ins {

using nlohmann::json;

generated_job job_generator::next() {
    m_job_count++;
    generated_job job;
    auto tasks = json::array();
    const auto count = draw(m_options.tasks);
    for (std::size_t i = 0; i < count; i++) {
        const auto ms = draw(m_options.service_ms);
        job.ideal_response = std::max(job.ideal_response, common::milliseconds(ms));
        job.bodies.push_back(make_body(i));
        tasks.push_back({{"path", "/work/a?ms=" + std::to_string(ms)},
                         {"body", job.bodies.back()},
                         {"idempotent", !draw(m_options.non_idempotent_share)},
                         {"expected_ms", declared_ms(ms)}});
    }
    const json body = {{"team", m_options.team},
                       {"upstream", m_options.upstream},
                       {"deadline_ms", m_options.deadline_ms},
                       {"tasks", std::move(tasks)}};
    job.text = body.dump();
    return job;
}

common::time_point::duration job_generator::next_gap(double arrivals_per_second) {
    std::exponential_distribution<double> gap(arrivals_per_second);
    return std::chrono::duration_cast<common::time_point::duration>(
        std::chrono::duration<double>(gap(m_engine)));
}

bool job_generator::draw(double probability) {
    return std::bernoulli_distribution(probability)(m_engine);
}

common::milliseconds job_generator::draw_time(common::milliseconds max) {
    return common::milliseconds(draw(number_range{0, static_cast<std::uint64_t>(max.count())}));
}

std::uint64_t job_generator::draw(const number_range& range) {
    return std::uniform_int_distribution<std::uint64_t>(range.min, range.max)(m_engine);
}

std::uint64_t job_generator::declared_ms(std::uint64_t service_ms) {
    std::uniform_real_distribution<double> exponent(-1, 1);
    const auto factor = std::pow(m_options.expected_error, exponent(m_engine));
    return static_cast<std::uint64_t>(
        std::max(1.0, std::round(static_cast<double>(service_ms) * factor)));
}

std::string job_generator::make_body(std::size_t task) {
    auto text = "job " + std::to_string(m_job_count) + " task " + std::to_string(task) + " " +
                std::to_string(m_engine()) + " ";
    text.resize(std::max(text.size(), m_options.body_bytes), '.');
    return text;
}

} // namespace savorytrail::stand_ins
