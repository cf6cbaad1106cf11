// Collects the outcomes of the jobs and formats them as one line of JSON.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "stand_ins/callers/answer_check.h"

namespace savorytrail::stand_ins {

// Requests that were sent to entries.
struct message_counts {
    std::atomic<std::uint64_t> ids{0};
    std::atomic<std::uint64_t> submissions{0};
    std::atomic<std::uint64_t> cancellations{0};
};

struct job_outcome {
    checked_answer answer;
    std::size_t tasks = 0;
    common::milliseconds ideal_response{0};
    std::chrono::duration<double, std::milli> response{0}; // measured from the planned arrival
    std::chrono::duration<double, std::milli> send_lag{0}; // from planned arrival to first request
    bool cancelled = false;
    bool in_time = false; // answered within the measured span
};

class report {
public:
    void add_offered(std::size_t tasks);
    void add(const job_outcome& outcome);
    // Adds the answer to a further copy of a job. `agrees`: whether it matches the first answer.
    void add_copy(const checked_answer& answer, bool agrees);

    bool is_sound() const;
    std::string to_json(std::chrono::seconds duration, const message_counts& messages) const;

private:
    void count_defects(const checked_answer& answer);

    mutable std::mutex m_mutex;
    // Guarded by m_mutex, as all below.
    std::uint64_t m_offered_jobs = 0;
    std::uint64_t m_offered_tasks = 0;
    std::uint64_t m_answered_jobs = 0; // jobs with an outcome
    std::uint64_t m_served_jobs = 0;   // completed within the measured span
    std::uint64_t m_served_tasks = 0;
    std::uint64_t m_wrong = 0;
    std::uint64_t m_partial = 0;
    std::uint64_t m_crossed = 0;
    std::uint64_t m_inconsistent = 0;
    std::string m_first_problem;
    std::array<std::uint64_t, 7> m_states{};           // by answer_state; excludes cancelled jobs
    std::array<std::uint64_t, 7> m_cancelled_states{}; // by answer_state; cancelled jobs only
    std::vector<double> m_over_ideal; // complete jobs that were not cancelled, as m_response_ms
    std::vector<double> m_response_ms;
    std::vector<double> m_send_lag_ms;
};

} // namespace savorytrail::stand_ins
