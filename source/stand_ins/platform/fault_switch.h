// The fault that is currently injected into the platform's calls.
#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>

namespace savorytrail::stand_ins {

enum class platform_mode {
    up,
    down,         // responds with 503 immediately
    silent,       // accepts the call and never responds
    slow,         // performs the call and responds after the delay
    lose_answers, // performs the call and closes the connection without a response
};

std::optional<platform_mode> parse_platform_mode(std::string_view name);
std::string_view name_of(platform_mode mode);

struct platform_fault {
    platform_mode mode = platform_mode::up;
    std::chrono::milliseconds delay{0};
    std::uint64_t times = 0; // number of calls that it applies to; 0 means unlimited

    bool operator==(const platform_fault&) const = default;
};

class fault_switch {
public:
    void set(const platform_fault& fault);
    // Returns the fault for the current call and decrements its remaining times.
    platform_fault take();

private:
    std::mutex m_mutex;
    platform_fault m_fault; // guarded by m_mutex
};

} // namespace savorytrail::stand_ins
