// Parsing and printing of endpoints.
#include "core/common/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

#include "absl/strings/str_cat.h"

namespace savorytrail::common {

std::string endpoint::to_string() const {
    return absl::StrCat(host, ":", port);
}

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;

    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec != std::errc() || end != digits.data() + digits.size() || port == 0)
        return std::nullopt;

    std::string host(text.substr(0, colon));
    in_addr address{};
    if (inet_pton(AF_INET, host.c_str(), &address) != 1)
        return std::nullopt;

    return endpoint{std::move(host), port};
}

std::optional<endpoint> parse_http_url(std::string_view text) {
    constexpr std::string_view scheme = "http://";
    if (!text.starts_with(scheme))
        return std::nullopt;
    text.remove_prefix(scheme.size());
    if (text.ends_with('/'))
        text.remove_suffix(1);
    return parse_endpoint(text);
}

} // namespace savorytrail::common
