// One line of an entry's log, read back.
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
    std::int64_t at_us = 0; // wall time of the writing VM, in microseconds
    std::string node;       // VM
    std::string name;
    std::map<std::string, std::string> fields; // the others

    bool operator==(const log_event&) const = default;

    // Empty when the line does not have it.
    std::string field(const std::string& key) const;
    bool is(std::string_view event) const { return name == event; }
};

// nullopt for a line that is none of ours. Text before the line, as collectors add it, is left out.
std::optional<log_event> parse_log_line(std::string_view line);

// All events of the stream, in its order.
std::vector<log_event> read_log(std::istream& in);

} // namespace savorytrail::log_story
