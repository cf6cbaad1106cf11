// The optional mechanisms of a cell, by the names under which an operator can switch them off.
#pragma once

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

#include "core/cell/limits.h"

namespace savorytrail::cell {

struct mechanism {
    std::string_view name;
    bool limits::*is_on;
};

constexpr std::array mechanisms = {
    mechanism{"fair-shares", &limits::shares_fairly},
    mechanism{"interference", &limits::avoids_interference},
    mechanism{"late-returns", &limits::returns_late_jobs},
    mechanism{"learnt-durations", &limits::learns_durations},
    mechanism{"packing", &limits::packs_by_value},
    mechanism{"report-hedging", &limits::hedges_reports},
    mechanism{"speeds", &limits::places_by_speed},
    mechanism{"start-repeats", &limits::repeats_starts_early},
};

// Returns whether there is a mechanism of this name.
inline bool switch_off(std::string_view name, limits& in) {
    const auto it = std::find_if(mechanisms.begin(), mechanisms.end(),
                                 [name](const mechanism& m) { return m.name == name; });
    if (it == mechanisms.end()) {
        return false;
    }
    in.*(it->is_on) = false;
    return true;
}

} // namespace savorytrail::cell
