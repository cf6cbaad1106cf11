// Parses the text format line by line.
#include "core/telemetry/scrape.h"

#include <charconv>
#include <cmath>
#include <limits>

namespace savorytrail::telemetry {
namespace {

bool is_name_character(char c, bool is_first) {
    const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == ':';
    return is_letter || (!is_first && c >= '0' && c <= '9');
}

// Removes and returns a leading name; empty when there is none.
std::string consume_name(std::string_view& rest) {
    std::size_t n = 0;
    while (n < rest.size() && is_name_character(rest[n], n == 0))
        n++;
    std::string name(rest.substr(0, n));
    rest.remove_prefix(n);
    return name;
}

bool consume(std::string_view& rest, char c) {
    if (rest.empty() || rest.front() != c)
        return false;
    rest.remove_prefix(1);
    return true;
}

void skip_blanks(std::string_view& rest) {
    while (!rest.empty() && (rest.front() == ' ' || rest.front() == '\t'))
        rest.remove_prefix(1);
}

std::optional<std::string> consume_quoted(std::string_view& rest) {
    if (!consume(rest, '"'))
        return std::nullopt;
    std::string value;
    while (!rest.empty() && rest.front() != '"') {
        char c = rest.front();
        rest.remove_prefix(1);
        if (c == '\\') {
            if (rest.empty())
                return std::nullopt;
            c = rest.front() == 'n' ? '\n' : rest.front();
            rest.remove_prefix(1);
        }
        value += c;
    }
    if (!consume(rest, '"'))
        return std::nullopt;
    return value;
}

bool consume_labels(std::string_view& rest, std::map<std::string, std::string>& labels) {
    if (!consume(rest, '{'))
        return true;
    while (!consume(rest, '}')) {
        std::string name = consume_name(rest);
        if (name.empty() || !consume(rest, '='))
            return false;
        auto value = consume_quoted(rest);
        if (!value || !labels.emplace(std::move(name), std::move(*value)).second)
            return false;
        if (!consume(rest, ',') && (rest.empty() || rest.front() != '}'))
            return false;
    }
    return true;
}

std::optional<double> read_number(std::string_view text) {
    if (text == "+Inf")
        return std::numeric_limits<double>::infinity();
    if (text == "-Inf")
        return -std::numeric_limits<double>::infinity();
    if (text == "NaN")
        return std::nan("");
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<sample> read_sample(std::string_view line) {
    sample it;
    it.name = consume_name(line);
    if (it.name.empty() || !consume_labels(line, it.labels))
        return std::nullopt;
    skip_blanks(line);
    // A timestamp may follow the value; it is ignored.
    const auto value = read_number(line.substr(0, line.find(' ')));
    if (!value)
        return std::nullopt;
    it.value = *value;
    return it;
}

bool read_comment(std::string_view line, scrape& out) {
    constexpr std::string_view type_prefix = "# TYPE ";
    if (!line.starts_with(type_prefix))
        return true;
    line.remove_prefix(type_prefix.size());
    std::string name = consume_name(line);
    if (name.empty() || !consume(line, ' '))
        return false;
    return out.types.emplace(std::move(name), std::string(line)).second;
}

} // namespace

std::optional<scrape> parse_scrape(std::string_view text) {
    scrape result;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty())
            continue;
        if (line.front() == '#') {
            if (!read_comment(line, result))
                return std::nullopt;
            continue;
        }
        auto it = read_sample(line);
        if (!it)
            return std::nullopt;
        result.samples.push_back(std::move(*it));
    }
    return result;
}

} // namespace savorytrail::telemetry
