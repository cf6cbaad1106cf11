// Counts the task starts of an executor, in total and per task.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace savorytrail::stand_ins {

struct start_counts {
    std::uint64_t total = 0;
    std::map<std::string, std::uint64_t> tasks; // SUBMISSION_ID/INDEX to number of starts

    bool operator==(const start_counts&) const = default;
};

class start_counter {
public:
    // A task with an empty name is counted in the total only.
    void add(const std::string& task);
    start_counts read() const;
    void clear();

private:
    mutable std::mutex m_mutex;
    start_counts m_starts; // guarded by m_mutex
};

} // namespace savorytrail::stand_ins
