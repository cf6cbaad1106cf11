// The faults that a proxy route can have.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace savorytrail::stand_ins {

enum class proxy_mode {
    pass,
    cut,       // resets connections, refuses new ones
    drop,      // accepts and swallows both ways, on old and new connections
    drop_old,  // connections open at that moment go silent for good
    delay,     // each way
    half_open, // requests pass, answers are swallowed
    cut_after, // resets a connection once a number of bytes has gone to the target
};

std::optional<proxy_mode> parse_proxy_mode(std::string_view name);
std::string_view name_of(proxy_mode mode);

struct proxy_fault {
    proxy_mode mode = proxy_mode::pass;
    std::chrono::milliseconds delay{0};
    std::uint64_t after_bytes = 0;

    bool operator==(const proxy_fault&) const = default;
};

} // namespace savorytrail::stand_ins
