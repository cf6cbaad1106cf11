// Parsing of the callers' options.
#include "stand_ins/callers/options.h"

#include <charconv>

namespace savorytrail::stand_ins {

bool parse_range(const std::string& text, number_range& range) {
    const auto read = [](std::string_view digits, std::uint64_t& value) {
        const auto* const end = digits.data() + digits.size();
        const auto it = std::from_chars(digits.data(), end, value);
        return it.ec == std::errc() && it.ptr == end;
    };
    const auto dots = text.find("..");
    if (!read(std::string_view(text).substr(0, dots), range.min))
        return false;
    range.max = range.min;
    if (dots != std::string::npos && !read(std::string_view(text).substr(dots + 2), range.max))
        return false;
    return range.min <= range.max;
}

} // namespace savorytrail::stand_ins
