// Text encoding of submission ids.
#include "core/submission/submission_id.h"

#include <openssl/sha.h>

#include <array>
#include <charconv>
#include <cstring>

#include "absl/strings/escaping.h"
#include "absl/strings/str_format.h"

namespace savorytrail::submission {
namespace {

constexpr std::string_view prefix = "s1_";
constexpr std::size_t packed_bytes = 40;
constexpr std::size_t encoded_bytes = 54; // base 64 of 40 bytes without padding

template <typename T>
void append_big_endian(std::string& out, T value) {
    for (int shift = sizeof(T) * 8 - 8; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>(value >> shift));
}

template <typename T>
T read_big_endian(std::string_view& from) {
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); i++)
        value = static_cast<T>(value << 8) | static_cast<unsigned char>(from[i]);
    from.remove_prefix(sizeof(T));
    return value;
}

} // namespace

std::string to_string(const incarnation& value) {
    return absl::StrFormat("%016x%016x", value.high, value.low);
}

std::optional<incarnation> parse_incarnation(std::string_view text) {
    constexpr std::size_t half = 16;
    incarnation value;
    if (text.size() != 2 * half)
        return std::nullopt;
    const char* middle = text.data() + half;
    const auto high = std::from_chars(text.data(), middle, value.high, 16);
    const auto low = std::from_chars(middle, middle + half, value.low, 16);
    if (high.ec != std::errc() || high.ptr != middle || low.ec != std::errc() ||
        low.ptr != middle + half)
        return std::nullopt;
    return value;
}

std::string to_string(const submission_id& value) {
    std::string packed;
    packed.reserve(packed_bytes);
    append_big_endian(packed, value.home.high);
    append_big_endian(packed, value.home.low);
    append_big_endian(packed, value.vm);
    append_big_endian(packed, value.expires_ms);
    append_big_endian(packed, value.sequence);
    append_big_endian(packed, value.tag);
    return std::string(prefix) + absl::WebSafeBase64Escape(packed);
}

std::optional<submission_id> parse_submission_id(std::string_view text) {
    if (!text.starts_with(prefix) || text.size() != prefix.size() + encoded_bytes)
        return std::nullopt;

    std::string packed;
    if (!absl::WebSafeBase64Unescape(std::string(text.substr(prefix.size())), &packed) ||
        packed.size() != packed_bytes)
        return std::nullopt;

    std::string_view rest = packed;
    submission_id id;
    id.home.high = read_big_endian<std::uint64_t>(rest);
    id.home.low = read_big_endian<std::uint64_t>(rest);
    id.vm = read_big_endian<std::uint32_t>(rest);
    id.expires_ms = read_big_endian<std::uint32_t>(rest);
    id.sequence = read_big_endian<std::uint64_t>(rest);
    id.tag = read_big_endian<std::uint64_t>(rest);
    // The decoder ignores the spare bits of the last character; only one text is valid for an id.
    if (to_string(id) != text)
        return std::nullopt;
    return id;
}

std::uint32_t vm_number(std::string_view vm_name) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> sum{};
    SHA256(reinterpret_cast<const unsigned char*>(vm_name.data()), vm_name.size(), sum.data());
    std::uint32_t n = 0;
    std::memcpy(&n, sum.data(), sizeof(n));
    return n;
}

} // namespace savorytrail::submission
