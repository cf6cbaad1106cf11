// A parsed TOML document: the file with the command line's assignments merged into it.
#pragma once

#include <string>
#include <vector>

#include "core/settings/problem.h"
#include "toml++/toml.h"

namespace google::protobuf {
class Descriptor;
}

namespace savorytrail::settings {

position position_of(const toml::source_region& region);

struct document {
    toml::table root; // each node knows its file name, line and column
    std::vector<problem> problems;
};

// Assignments such as "callers.threads=8" override the file. Values of string fields in `schema`
// need no quotes in an assignment.
document parse_document(const std::string& text, const std::string& file_name,
                        const std::vector<std::string>& assignments,
                        const google::protobuf::Descriptor& schema);

} // namespace savorytrail::settings
