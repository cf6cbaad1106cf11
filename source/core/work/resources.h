// Resources that a task occupies on an executor, or that an executor has.
#pragma once

#include <compare>
#include <cstdint>

namespace savorytrail::work {

struct resources {
    std::int64_t cpu_millis = 0; // thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const resources&) const = default;

    bool covers(const resources& it) const {
        return cpu_millis >= it.cpu_millis && memory_mb >= it.memory_mb &&
               accelerators >= it.accelerators;
    }

    resources& operator+=(const resources& it) {
        cpu_millis += it.cpu_millis;
        memory_mb += it.memory_mb;
        accelerators += it.accelerators;
        return *this;
    }

    resources& operator-=(const resources& it) {
        cpu_millis -= it.cpu_millis;
        memory_mb -= it.memory_mb;
        accelerators -= it.accelerators;
        return *this;
    }

    friend resources operator-(resources a, const resources& b) { return a -= b; }
};

} // namespace savorytrail::work
