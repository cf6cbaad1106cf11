// Names of the proxy's fault modes.
#include "stand_ins/proxy/proxy_fault.h"

#include "stand_ins/http/name_table.h"

namespace savorytrail::stand_ins {

namespace {

constexpr name_table<proxy_mode, 8> mode_names{{
    {"pass", proxy_mode::pass},
    {"cut", proxy_mode::cut},
    {"drop", proxy_mode::drop},
    {"drop_old", proxy_mode::drop_old},
    {"delay", proxy_mode::delay},
    {"cut_unnoticed", proxy_mode::cut_unnoticed},
    {"half_open", proxy_mode::half_open},
    {"cut_after", proxy_mode::cut_after},
}};

} // namespace

std::optional<proxy_mode> parse_proxy_mode(std::string_view name) {
    return find_value(mode_names, name);
}

std::string_view name_of(proxy_mode mode) {
    return find_name(mode_names, mode);
}

} // namespace savorytrail::stand_ins
