// Parses glog's prefix and the key=value fields after it.
#include "core/log_story/log_event.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace savorytrail::log_story {
namespace {

constexpr std::string_view event_key = "event=";
// glog's prefix: "I20260913 23:53:58.085685", a space, thread id, source line and a bracket.
constexpr std::size_t timestamp_length = 24;

bool is_level(char c) {
    return c == 'I' || c == 'W' || c == 'E' || c == 'F';
}

std::optional<std::int64_t> parse_timestamp(std::string_view text) {
    const std::string copy(text.substr(0, timestamp_length));
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int micros = 0;
    if (std::sscanf(copy.c_str(), "%4d%2u%2u %2d:%2d:%2d.%6d", &year, &month, &day, &hour, &minute,
                    &second, &micros) != 7) {
        return std::nullopt;
    }
    const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month),
                                           std::chrono::day(day)};
    if (!date.ok()) {
        return std::nullopt;
    }
    using std::chrono::microseconds;
    const microseconds at = std::chrono::sys_days(date).time_since_epoch() +
                            std::chrono::hours(hour) + std::chrono::minutes(minute) +
                            std::chrono::seconds(second) + microseconds(micros);
    return at.count();
}

// The last timestamp in the text before the event.
std::optional<std::int64_t> find_timestamp(std::string_view head) {
    for (std::size_t i = head.size(); i-- > 0;) {
        const bool is_start = is_level(head[i]) && (i == 0 || head[i - 1] == ' ');
        if (is_start && head.size() - i > timestamp_length) {
            if (const auto at = parse_timestamp(head.substr(i + 1))) {
                return at;
            }
        }
    }
    return std::nullopt;
}

std::string parse_quoted(std::string_view text, std::size_t& position) {
    std::string value;
    for (position++; position < text.size() && text[position] != '"'; position++) {
        if (text[position] == '\\' && position + 1 < text.size()) {
            position++;
        }
        value += text[position];
    }
    position++;
    return value;
}

std::string parse_value(std::string_view text, std::size_t& position) {
    if (position < text.size() && text[position] == '"') {
        return parse_quoted(text, position);
    }
    const auto end = std::min(text.find(' ', position), text.size());
    std::string value(text.substr(position, end - position));
    position = end;
    return value;
}

} // namespace

std::string log_event::field(const std::string& key) const {
    const auto it = fields.find(key);
    return it == fields.end() ? "" : it->second;
}

std::optional<log_event> parse_log_line(std::string_view line) {
    const auto start = line.find(event_key);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const auto timestamp = find_timestamp(line.substr(0, start));
    if (!timestamp) {
        return std::nullopt;
    }
    log_event it;
    it.at_us = *timestamp;
    std::size_t position = start;
    while (position < line.size()) {
        const auto equals = line.find('=', position);
        if (equals == std::string_view::npos) {
            break;
        }
        std::string key(line.substr(position, equals - position));
        position = equals + 1;
        it.fields[std::move(key)] = parse_value(line, position);
        position = std::min(line.find_first_not_of(' ', position), line.size());
    }
    it.name = it.field("event");
    it.node = it.field("node");
    it.fields.erase("event");
    it.fields.erase("node");
    it.fields.erase("domain");
    if (it.name.empty() || it.node.empty()) {
        return std::nullopt;
    }
    return it;
}

std::vector<log_event> read_log(std::istream& in) {
    std::vector<log_event> events;
    std::string line;
    while (std::getline(in, line)) {
        if (auto it = parse_log_line(line)) {
            events.push_back(std::move(*it));
        }
    }
    return events;
}

} // namespace savorytrail::log_story
