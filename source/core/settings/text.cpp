// Reads files and formats values as TOML.
#include "core/settings/text.h"

#include <array>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <memory>

namespace savorytrail::settings {
namespace {

constexpr std::size_t read_chunk = 65536;   // bytes
constexpr std::size_t decimal_width = 1100; // characters; the longest double needs 1,077

struct file_closer {
    void operator()(std::FILE* file) const { std::fclose(file); }
};

std::string escaped(char c) {
    switch (c) {
    case '"':
        return "\\\"";
    case '\\':
        return "\\\\";
    case '\n':
        return "\\n";
    case '\t':
        return "\\t";
    case '\r':
        return "\\r";
    default:
        break;
    }
    const auto code = static_cast<unsigned char>(c);
    if (code >= 0x20 && code != 0x7f)
        return {c};
    std::array<char, 8> buf{};
    std::snprintf(buf.data(), buf.size(), "\\u%04X", static_cast<unsigned>(code));
    return buf.data();
}

} // namespace

common::result<std::string> read_file(const std::string& path) {
    const std::unique_ptr<std::FILE, file_closer> file(std::fopen(path.c_str(), "rb"));
    if (!file)
        return std::error_code(errno, std::generic_category());

    std::string text;
    std::string buf(read_chunk, '\0');
    while (const std::size_t n = std::fread(buf.data(), 1, buf.size(), file.get()))
        text.append(buf, 0, n);
    if (std::ferror(file.get()) != 0)
        return std::error_code(errno, std::generic_category());
    return text;
}

std::string quoted(std::string_view text) {
    std::string result = "\"";
    for (const char c : text)
        result += escaped(c);
    return result + "\"";
}

std::string decimal(double value) {
    std::array<char, decimal_width> buf{};
    const auto [end, ec] =
        std::to_chars(buf.data(), buf.data() + buf.size(), value, std::chars_format::fixed);
    return {buf.data(), end};
}

} // namespace savorytrail::settings
