// Faults of the platform.
#include "stand_ins/platform/fault_switch.h"

#include <array>
#include <utility>

namespace savorytrail::stand_ins {

std::optional<platform_mode> parse_platform_mode(std::string_view name) {
    static constexpr std::array<std::pair<std::string_view, platform_mode>, 5> s_modes{{
        {"up", platform_mode::up},
        {"down", platform_mode::down},
        {"silent", platform_mode::silent},
        {"slow", platform_mode::slow},
        {"lose_answers", platform_mode::lose_answers},
    }};
    for (const auto& [text, mode] : s_modes) {
        if (text == name)
            return mode;
    }
    return std::nullopt;
}

void fault_switch::set(const platform_fault& fault) {
    const std::lock_guard lock(m_mutex);
    m_fault = fault;
}

platform_fault fault_switch::take() {
    const std::lock_guard lock(m_mutex);
    auto it = m_fault;
    if (m_fault.times > 0 && --m_fault.times == 0)
        m_fault = {};
    return it;
}

} // namespace savorytrail::stand_ins
