// What the soaks of platform fleets have in common: settings by environment variables, and routes
// that are added while they run.
#pragma once

#include <chrono>
#include <cstdlib>
#include <mutex>
#include <string>
#include <vector>

#include "integration_tests/platform_fleet.h"

namespace savorytrail {

inline std::uint64_t soak_setting(const char* name, std::uint64_t default_value) {
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

// Adds routes, which no later configuration removes. May be used from any thread.
class added_routes {
public:
    explicit added_routes(platform_fleet& fleet) : m_fleet(fleet) {}

    void add() {
        const std::lock_guard lock(m_mutex);
        m_prefixes.push_back("/added-" + std::to_string(m_prefixes.size()) + "/");
        m_fleet.platform().configure(++m_version, m_prefixes);
        m_added_at.push_back(std::chrono::steady_clock::now());
    }

    // The newest route that was added at least `bound` ago, so that every entry has to know it;
    // empty if there is none.
    std::string newest_due(std::chrono::milliseconds bound) {
        const std::lock_guard lock(m_mutex);
        for (auto i = m_prefixes.size(); i > 0; i--) {
            if (m_added_at[i - 1] + bound <= std::chrono::steady_clock::now()) {
                return m_prefixes[i - 1];
            }
        }
        return "";
    }

private:
    platform_fleet& m_fleet;
    std::mutex m_mutex;
    std::uint64_t m_version = 2; // of the configuration
    std::vector<std::string> m_prefixes;
    std::vector<std::chrono::steady_clock::time_point> m_added_at;
};

} // namespace savorytrail
