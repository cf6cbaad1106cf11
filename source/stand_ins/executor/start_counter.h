// The log of every task that an executor took on.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace savorytrail::stand_ins {

struct start_counts {
    std::uint64_t total = 0;
    std::map<std::string, std::uint64_t> tasks; // SUBMISSION_ID/INDEX to its starts

    bool operator==(const start_counts&) const = default;
};

class start_counter {
public:
    // A task without a name counts in the total only.
    void add(const std::string& task);
    start_counts read() const;
    void clear();

private:
    mutable std::mutex m_mutex;
    start_counts m_starts; // guarded by m_mutex
};

} // namespace savorytrail::stand_ins
