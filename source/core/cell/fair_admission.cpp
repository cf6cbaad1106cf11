#include "core/cell/fair_admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace savorytrail::cell {
namespace {

double to_milliseconds(common::time_point::duration it) {
    return std::chrono::duration<double, std::milli>(it).count();
}

// The max-min fair level: with all offers capped at it, their sum is `capacity`. The largest offer
// if the capacity suffices for all.
double max_min_level(std::vector<double> offers, double capacity) {
    std::sort(offers.begin(), offers.end());
    auto remaining = static_cast<double>(offers.size());
    for (const double offer : offers) {
        if (offer * remaining >= capacity) {
            return capacity / remaining;
        }
        capacity -= offer;
        remaining--;
    }
    return offers.empty() ? capacity : offers.back();
}

} // namespace

double fair_admission::offered(const account& it, common::time_point now) const {
    const auto window = static_cast<double>(m_limits.window.count());
    return it.offered * std::exp(-to_milliseconds(now - it.at) / window) / window;
}

bool fair_admission::is_overloaded(double capacity, common::time_point now) const {
    double sum = 0;
    for (const auto& [queue, it] : m_accounts) {
        sum += offered(it, now);
    }
    return sum > capacity * m_limits.target_utilization;
}

double fair_admission::fair_rate(double capacity, common::time_point now) const {
    std::vector<double> offers;
    for (const auto& [queue, other] : m_accounts) {
        offers.push_back(offered(other, now));
    }
    return max_min_level(offers, capacity * m_limits.target_utilization);
}

bool fair_admission::offer(const std::string& queue, double cpu_demand, double capacity,
                           common::milliseconds wait, common::time_point now) {
    auto& it = m_accounts[queue];
    const double rate = fair_rate(capacity, now);
    const auto window = static_cast<double>(m_limits.window.count());
    const double elapsed_ms = std::min(to_milliseconds(now - it.at), window);
    it.tokens = std::min(it.tokens + rate * elapsed_ms, max_tokens(capacity));
    it.offered = offered(it, now) * window + std::max(cpu_demand, 0.0);
    it.at = now;
    const bool is_limiting =
        m_limits.is_on && wait > m_limits.tolerated_wait && is_overloaded(capacity, now);
    return !is_limiting || it.tokens > 0;
}

void fair_admission::charge(const std::string& queue, double cpu_demand, double capacity) {
    auto& it = m_accounts[queue];
    it.tokens = std::max(it.tokens - std::max(cpu_demand, 0.0), -max_tokens(capacity));
}

double fair_admission::max_tokens(double capacity) const {
    return capacity * static_cast<double>(m_limits.burst.count());
}

bool fair_admission::admit(const std::string& queue, double cpu_demand, double capacity,
                           common::milliseconds wait, common::time_point now) {
    const bool is_admitted = offer(queue, cpu_demand, capacity, wait, now);
    if (is_admitted) {
        charge(queue, cpu_demand, capacity);
    }
    return is_admitted;
}

} // namespace savorytrail::cell
