// An IPv4 address with a port, the only form in which processes address each other.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savorytrail::common {

struct endpoint {
    std::string host; // dotted IPv4 address
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
    std::string to_string() const;
};

// Reads "10.1.2.3:8080"; nullopt unless the address is numeric IPv4 and the port is 1 to 65535.
std::optional<endpoint> parse_endpoint(std::string_view text);

// Reads "http://10.1.2.3:8080", with or without a final slash.
std::optional<endpoint> parse_http_url(std::string_view text);

} // namespace savorytrail::common
