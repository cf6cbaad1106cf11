// Names of the proxy's faults.
#include "stand_ins/proxy/proxy_fault.h"

#include <array>
#include <utility>

namespace savorytrail::stand_ins {

std::optional<proxy_mode> parse_proxy_mode(std::string_view name) {
    static constexpr std::array<std::pair<std::string_view, proxy_mode>, 7> s_modes{{
        {"pass", proxy_mode::pass},
        {"cut", proxy_mode::cut},
        {"drop", proxy_mode::drop},
        {"drop_old", proxy_mode::drop_old},
        {"delay", proxy_mode::delay},
        {"half_open", proxy_mode::half_open},
        {"cut_after", proxy_mode::cut_after},
    }};
    for (const auto& [text, mode] : s_modes) {
        if (text == name)
            return mode;
    }
    return std::nullopt;
}

} // namespace savorytrail::stand_ins
