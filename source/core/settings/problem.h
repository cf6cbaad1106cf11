// An error found in a settings or manifest file, with its position.
#pragma once

#include <compare>
#include <string>
#include <vector>

namespace savorytrail::settings {

struct position {
    std::string file; // file name, or "--set" with the assignment from the command line
    int line = 0;     // 1 for the first line; 0 in an assignment
    int column = 0;

    auto operator<=>(const position&) const = default;
};

struct problem {
    std::string file; // file name, or "--set" with the assignment from the command line
    int line = 0;     // 1 for the first line; 0 when the problem concerns the file as a whole
    int column = 0;
    std::string key; // such as upstreams[0].executors[3].address; empty for a syntax error
    std::string message;

    auto operator<=>(const problem&) const = default;
    std::string to_string() const; // "file:line:column: key: message"
};

// One problem per line.
std::string to_string(const std::vector<problem>& problems);

} // namespace savorytrail::settings
