// The fences of one entry's claims. The wall clock is in their high bits, so that a later holder of
// an executor usually has the higher fence, whichever entry it is; the low bits tell entries apart.
#pragma once

#include <algorithm>
#include <cstdint>

namespace savorytrail::cell {

enum class claim_attempt : std::uint8_t {
    first,
    repeated, // another entry has a higher fence there
};

class fence_sequence {
public:
    explicit fence_sequence(std::uint8_t entry_tag) : m_entry_tag(entry_tag) {}

    // Returns a fence higher than all before. Only that of a repeated claim is ahead of the wall
    // clock: the fences of a process that has ended would otherwise be higher than those of its
    // successor.
    std::int64_t next(claim_attempt attempt, std::int64_t unix_ms) {
        const auto at = std::max(unix_ms, m_last_ms + 1);
        m_last_ms = attempt == claim_attempt::repeated ? at + raise_ms : at;
        return (m_last_ms << tag_bits) | m_entry_tag;
    }

private:
    static constexpr int tag_bits = 8;
    static constexpr std::int64_t raise_ms = 2000; // far more than clocks usually differ

    const std::uint8_t m_entry_tag;
    std::int64_t m_last_ms = 0;
};

} // namespace savorytrail::cell
