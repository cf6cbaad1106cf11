// Fault modes of the platform, and the fault currently set.
#include "stand_ins/platform/fault_switch.h"

#include "stand_ins/http/name_table.h"

namespace savorytrail::stand_ins {

namespace {

constexpr name_table<platform_mode, 5> mode_names{{
    {"up", platform_mode::up},
    {"down", platform_mode::down},
    {"silent", platform_mode::silent},
    {"slow", platform_mode::slow},
    {"lose_answers", platform_mode::lose_answers},
}};

} // namespace

std::optional<platform_mode> parse_platform_mode(std::string_view name) {
    return find_value(mode_names, name);
}

std::string_view name_of(platform_mode mode) {
    return find_name(mode_names, mode);
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
