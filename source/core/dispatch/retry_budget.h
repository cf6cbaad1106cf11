// Budget for retries of tasks that provably reached no executor. Answers replenish it, so that an
// upstream that accepts nothing is not flooded with retries.
#pragma once

#include <algorithm>

namespace savorytrail::dispatch {

class retry_budget {
public:
    void deposit() { m_retries = std::min(max_retries, m_retries + retries_per_answer); }

    // False when the budget is spent.
    bool try_withdraw() {
        if (m_retries < 1)
            return false;
        m_retries -= 1;
        return true;
    }

private:
    static constexpr double max_retries = 100;
    static constexpr double retries_per_answer = 0.1;

    double m_retries = max_retries; // invariant: from 0 to max_retries
};

} // namespace savorytrail::dispatch
