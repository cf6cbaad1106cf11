// Faults that can be injected into a proxy route.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace savorytrail::stand_ins {

enum class proxy_mode {
    pass,
    cut,      // resets open connections and refuses new ones
    drop,     // accepts connections, and discards data in both directions on old and new ones
    drop_old, // discards all further data of connections that are open when it is set
    delay,    // delays data in each direction
    // Resets the client's side of connections that are open when it is set, of which the target is
    // told nothing; accepts new connections and discards their data.
    cut_unnoticed,
    half_open, // forwards requests and discards responses
    cut_after, // resets a connection once `after_bytes` bytes have been sent to the target
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
