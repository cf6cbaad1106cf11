// A parsed TOML document: a file's text with assignments from the command line laid over it.
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

// Assignments such as "callers.threads=8" win over the file. Text fields of `schema` need no quotes
// in an assignment.
document parse_document(const std::string& text, const std::string& file_name,
                        const std::vector<std::string>& assignments,
                        const google::protobuf::Descriptor& schema);

} // namespace savorytrail::settings
