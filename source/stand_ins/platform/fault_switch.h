// How the platform misbehaves at present.
#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>

namespace savorytrail::stand_ins {

enum class platform_mode {
    up,
    down,         // answers 503 at once
    silent,       // accepts, never answers
    slow,         // performs the call, answers after the delay
    lose_answers, // performs the call, closes the connection unanswered
};

std::optional<platform_mode> parse_platform_mode(std::string_view name);
std::string_view name_of(platform_mode mode);

struct platform_fault {
    platform_mode mode = platform_mode::up;
    std::chrono::milliseconds delay{0};
    std::uint64_t times = 0; // calls that it applies to; 0 is no limit

    bool operator==(const platform_fault&) const = default;
};

class fault_switch {
public:
    void set(const platform_fault& fault);
    // The fault for one call. Uses up one of the fault's times.
    platform_fault take();

private:
    std::mutex m_mutex;
    platform_fault m_fault; // guarded by m_mutex
};

} // namespace savorytrail::stand_ins
