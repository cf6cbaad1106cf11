// Parses log lines that entries wrote.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorytrail::log_story {

struct log_event {
    std::int64_t at_us = 0; // wall-clock time of the VM that wrote it, in microseconds
    std::string node;       // VM
    std::string name;
    std::map<std::string, std::string> fields; // all other fields except the failure domain

    bool operator==(const log_event&) const = default;

    // Empty if the line has no such field.
    std::string field(const std::string& key) const;
    bool is(std::string_view event) const { return name == event; }
};

// nullopt for a line without an event, a node or a valid timestamp. Ignores text that log
// collectors put in front.
std::optional<log_event> parse_log_line(std::string_view line);

// Reads all events of the stream, in its order. Skips other lines.
std::vector<log_event> read_log(std::istream& in);

} // namespace savorytrail::log_story
